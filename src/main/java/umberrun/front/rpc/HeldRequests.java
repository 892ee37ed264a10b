package umberrun.front.rpc;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import umberrun.admission.MemoryBudget;
import umberrun.core.Request;

/**
 * The requests of one connection that were read, but not all that its client has sent. They are not
 * submitted yet: behind them the client may have revoked them, or closed the connection. Does no
 * I/O.
 */
final class HeldRequests {
  /** Memory that a held request takes beside its body, in bytes. */
  private static final int FIXED_BYTES = 1_024;

  /**
   * A held request.
   *
   * @param id its message id
   * @param readAt when it was read, in microseconds
   */
  record Held(long id, Request request, long readAt) {
    private long bytes() {
      return FIXED_BYTES + request.body().length();
    }
  }

  private final MemoryBudget budget;
  private final Map<Long, Held> byId = new LinkedHashMap<>();

  HeldRequests(MemoryBudget budget) {
    this.budget = budget;
  }

  /** Holds a request; false if there is no room for it. */
  boolean add(long id, Request request, long now) {
    Held held = new Held(id, request, now);
    if (!budget.hasRoomFor(held.bytes())) {
      return false;
    }
    budget.charge(held.bytes());
    byId.put(id, held);
    return true;
  }

  boolean contains(long id) {
    return byId.containsKey(id);
  }

  int size() {
    return byId.size();
  }

  /** Forgets a request; false if it is not held. */
  boolean remove(long id) {
    Held held = byId.remove(id);
    if (held != null) {
      budget.release(held.bytes());
    }
    return held != null;
  }

  /** Removes and returns the requests that were read at a time or before, in their order. */
  List<Held> takeReadUntil(long time) {
    List<Held> taken = new ArrayList<>();
    for (Held held : byId.values()) {
      if (held.readAt <= time) {
        taken.add(held);
      }
    }
    taken.forEach(held -> remove(held.id));
    return taken;
  }
}
