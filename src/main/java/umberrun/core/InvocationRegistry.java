package umberrun.core;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.UUID;
import java.util.function.Consumer;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Synchronous and deferred calls over the owner. A deferred call waits in a bounded queue of its
 * own and only so many are in hand at once, so that synchronous calls find room however many pile
 * up. Under a key there is one invocation: a repeat joins it, and nothing is sent a second time by
 * it.
 */
public final class InvocationRegistry {
  /** A key that was used for another call. */
  public static final class KeyReused extends Exception {
    private static final long serialVersionUID = 1;

    KeyReused() {
      super("the idempotency key was used for another call", null, false, false);
    }
  }

  /**
   * Bounds: deferred calls that wait and that are in hand, results kept, their bytes, and for how
   * long.
   */
  public record Limits(int queue, int inFlight, int results, long resultBytes, long keepMillis) {}

  private static final long FULL_BACKOFF_MILLIS = 1_000;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop owner;
  private final Counters counters;
  private final Limits bounds;
  private final long window;
  private final Map<String, Invocation> byId = new HashMap<>();
  private final Map<String, Invocation> byKey = new HashMap<>();
  private final ArrayDeque<Invocation> queue = new ArrayDeque<>();

  /** Those that have ended, the oldest first. */
  private final LinkedHashSet<Invocation> ended = new LinkedHashSet<>();

  private int inHand;
  private long bytes;

  public InvocationRegistry(
      Vertx vertx, Clock clock, DispatchLoop owner, Counters counters, Limits bounds) {
    this.vertx = vertx;
    this.clock = clock;
    this.owner = owner;
    this.counters = counters;
    this.bounds = bounds;
    this.window =
        owner.settings().classes().stream().mapToLong(c -> c.dedupWindow()).max().orElse(0);
  }

  /**
   * Takes a call, or joins the invocation that its key names.
   *
   * @param client who the key belongs to: keys of different clients do not meet
   */
  public Invocation submit(Request request, String client, boolean deferred) throws KeyReused {
    String scope = request.key() == null ? null : client + '\n' + request.key();
    Invocation before = scope == null ? null : byKey.get(scope);
    if (before != null) {
      if (!before.isRepeat(request)) {
        throw new KeyReused();
      }
      counters.add(Count.DEFERRED_JOINED);
      if (deferred) {
        before.promised = true;
        byId.put(before.id(), before);
      }
      if (before.call != null) {
        before.call.attended(true);
      }
      return before;
    }
    Invocation i =
        new Invocation(
            UUID.randomUUID().toString(), scope, request, deferred, clock.now() + request.budget());
    boolean full = deferred && queue.size() >= bounds.queue;
    if (full || (deferred || scope != null) && !makeRoom()) {
      counters.add(Count.DEFERRED_TURNED_AWAY);
      i.end(new Result.Refused(FULL_BACKOFF_MILLIS, true));
      return i;
    }
    if (scope != null) {
      byKey.put(scope, i);
    }
    if (!deferred) {
      start(i);
      return i;
    }
    counters.add(Count.DEFERRED_TAKEN);
    byId.put(i.id(), i);
    queue.add(i);
    // Guards against a call that waits here past its time: it never ran, so trying again does no
    // harm.
    i.timer =
        vertx.setTimer(
            Math.max(1, request.budget() / 1_000),
            t -> {
              i.timer = -1;
              if (queue.remove(i)) {
                end(i, new Result.Refused(FULL_BACKOFF_MILLIS, false));
              }
            });
    pump();
    return i;
  }

  public Invocation get(String id) {
    return byId.get(id);
  }

  /**
   * The client wants the answer no more. What may have run keeps its key, so that a repeat is not
   * sent again.
   */
  public void cancel(Invocation i) {
    if (i.result() != null) {
      drop(i);
    } else if (queue.remove(i)) {
      end(i, new Result.Cancelled());
      drop(i);
    } else {
      owner.abandon(i.call);
      over(i, new Result.Cancelled());
    }
  }

  /**
   * One who waited has gone. A call that nobody can ask for again is given up with the last of
   * them; for one that a repeat may join nothing more is sent until that comes, and what is out may
   * end.
   */
  public void stopWaiting(Invocation i, Consumer<Result> waiter) {
    i.removeWaiter(waiter);
    if (i.isOwed() || i.result() != null) {
      return;
    }
    if (i.scope == null) {
      owner.abandon(i.call);
      over(i, new Result.Cancelled());
    } else {
      counters.add(Count.CALLS_UNATTENDED);
      i.call.attended(false);
    }
  }

  private void pump() {
    while (inHand < bounds.inFlight && !queue.isEmpty()) {
      Invocation i = queue.poll();
      cancelTimer(i);
      inHand++;
      start(i);
    }
  }

  private void start(Invocation i) {
    Request r = i.request.withBudget(Math.max(1, i.deadline - clock.now()));
    i.call =
        owner.submit(
            r,
            new Reply() {
              @Override
              public void served(Buffer body) {
                over(i, new Result.Served(body));
              }

              @Override
              public void refused(long backoffMillis) {
                over(i, new Result.Refused(backoffMillis, false));
              }

              @Override
              public void failed(boolean overdue) {
                over(i, new Result.Failed(overdue));
              }
            });
  }

  private void over(Invocation i, Result r) {
    if (i.result() == null) {
      if (i.deferred) {
        inHand--;
      }
      end(i, r);
      pump();
    }
  }

  private void end(Invocation i, Result r) {
    cancelTimer(i);
    i.endedAt = clock.now();
    if (r instanceof Result.Refused && i.scope != null) {
      byKey.remove(i.scope, i); // it never ran: the same key may try anew
    }
    if (i.end(r) && (i.deferred || i.scope != null)) {
      bytes += i.bytes();
      ended.add(i);
      i.timer = vertx.setTimer(bounds.keepMillis, t -> drop(i));
    }
  }

  /** Guards the memory; but what the workers may still take a repeat of keeps its key. */
  private boolean makeRoom() {
    while (!ended.isEmpty() && (ended.size() >= bounds.results || bytes >= bounds.resultBytes)) {
      Invocation oldest = ended.iterator().next();
      if (clock.now() - oldest.endedAt < window) {
        return false;
      }
      drop(oldest);
    }
    return true;
  }

  private void drop(Invocation i) {
    cancelTimer(i);
    byId.remove(i.id(), i);
    if (i.scope != null
        && clock.now() - i.endedAt < window
        && !(i.result() instanceof Result.Refused)
        && i.call != null) {
      long left = window - (clock.now() - i.endedAt);
      i.timer = vertx.setTimer(left / 1_000 + 1, t -> drop(i));
      return; // the key stays bound while a worker might run a repeat
    }
    if (i.scope != null) {
      byKey.remove(i.scope, i);
    }
    if (ended.remove(i)) {
      bytes -= i.bytes();
    }
  }

  private void cancelTimer(Invocation i) {
    if (i.timer >= 0) {
      vertx.cancelTimer(i.timer);
      i.timer = -1;
    }
  }
}
