package umberrun.core;

import java.util.HashMap;
import java.util.Map;

/**
 * Claimed requests and who claimed them, each kept for at least one period and at most two. Does no
 * I/O.
 */
public final class ClaimTable {
  /** The most claims of one period; together with those before, some 3 MB. */
  private static final int MAX_CLAIMS_PER_PERIOD = 16_384;

  private Map<Long, Long> current = new HashMap<>();
  private Map<Long, Long> previous = Map.of();

  /** Begins the next period, and forgets the claims of the period before the current one. */
  public void beginPeriod() {
    previous = current;
    current = new HashMap<>();
  }

  /** Forgets all claims. */
  public void clear() {
    previous = Map.of();
    current = new HashMap<>();
  }

  /** Whether there is room for another claim. */
  public boolean hasRoom() {
    return current.size() < MAX_CLAIMS_PER_PERIOD;
  }

  /** Whether the request is claimed. */
  public boolean contains(long requestId) {
    return current.containsKey(requestId) || previous.containsKey(requestId);
  }

  /** Adds a claim unless the request is claimed already; returns who has it now. */
  public long add(long requestId, long owner) {
    Long before = previous.get(requestId);
    if (before != null) {
      return before;
    }
    Long present = current.putIfAbsent(requestId, owner);
    return present == null ? owner : present;
  }

  /** Removes a claim if this owner has it. */
  public void remove(long requestId, long owner) {
    current.remove(requestId, owner);
    if (!previous.isEmpty()) {
      previous.remove(requestId, owner);
    }
  }
}
