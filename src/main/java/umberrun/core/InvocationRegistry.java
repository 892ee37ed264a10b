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
 * Runs synchronous and deferred invocations through the dispatch loop. Deferred ones wait in a
 * bounded queue of their own and only a limited number run at once, so that synchronous calls find
 * room however many deferred ones pile up. An idempotency key names one invocation: a retry with
 * the same key joins it and sends nothing to a worker.
 */
public final class InvocationRegistry {
  /** Thrown where an idempotency key was already used for a different call. */
  public static final class KeyReused extends Exception {
    private static final long serialVersionUID = 1;

    KeyReused() {
      super("the idempotency key was used for another call", null, false, false);
    }
  }

  /**
   * Limits of the registry.
   *
   * @param queue how many deferred invocations may wait
   * @param inFlight how many deferred invocations run at once
   * @param results how many completed invocations are kept
   * @param resultBytes total size of their results in bytes
   * @param keepMillis how long a result is kept, in milliseconds
   */
  public record Limits(int queue, int inFlight, int results, long resultBytes, long keepMillis) {}

  private static final long OVERLOAD_BACKOFF_MILLIS = 1_000;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final Limits limits;

  /** The longest deduplication window of all call classes, in microseconds. */
  private final long dedupWindow;

  private final Map<String, Invocation> byId = new HashMap<>();
  private final Map<String, Invocation> byKey = new HashMap<>();
  private final ArrayDeque<Invocation> queue = new ArrayDeque<>();

  /** Completed invocations, the oldest first. */
  private final LinkedHashSet<Invocation> completed = new LinkedHashSet<>();

  /** Deferred invocations that run. */
  private int inFlight;

  /** Total size of the results of completed invocations. */
  private long resultBytes;

  public InvocationRegistry(
      Vertx vertx, Clock clock, DispatchLoop dispatchLoop, Counters counters, Limits limits) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.limits = limits;
    this.dedupWindow =
        dispatchLoop.settings().classes().stream().mapToLong(c -> c.dedupWindow()).max().orElse(0);
  }

  /**
   * Starts or queues an invocation, or joins the one that has the same idempotency key. Without
   * room for it, the invocation returned already has its result, a refusal.
   *
   * @param client the owner of the key: equal keys of different clients are different
   * @throws KeyReused if the key was used for a different call
   */
  public Invocation submit(Request request, String client, boolean deferred) throws KeyReused {
    String scopedKey = request.key() == null ? null : client + '\n' + request.key();
    Invocation existing = scopedKey == null ? null : byKey.get(scopedKey);
    if (existing != null) {
      if (!existing.isSameCall(request)) {
        throw new KeyReused();
      }
      counters.add(Count.DEFERRED_JOINED);
      if (deferred) {
        existing.resultPromised = true;
        byId.put(existing.id(), existing);
      }
      if (existing.call != null) {
        existing.call.setClientWaiting(true);
      }
      return existing;
    }
    Invocation invocation =
        new Invocation(
            UUID.randomUUID().toString(),
            scopedKey,
            request,
            deferred,
            clock.now() + request.budget());
    boolean queueIsFull = deferred && queue.size() >= limits.queue;
    if (queueIsFull || invocation.isKept() && !makeRoom()) {
      counters.add(Count.DEFERRED_REFUSED);
      invocation.complete(new Result.Refused(OVERLOAD_BACKOFF_MILLIS, true));
      return invocation;
    }
    if (invocation.isKept()) {
      counters.add(Count.INVOCATIONS_HELD);
      counters.change(Count.INVOCATION_BODY_BYTES, request.body().length());
    }
    if (scopedKey != null) {
      byKey.put(scopedKey, invocation);
    }
    if (!deferred) {
      start(invocation);
      return invocation;
    }
    counters.add(Count.DEFERRED_TAKEN);
    byId.put(invocation.id(), invocation);
    queue.add(invocation);
    // A call that is still queued at its deadline never ran, so it is refused: a retry does no
    // harm.
    invocation.timerId =
        vertx.setTimer(
            Math.max(1, request.budget() / 1_000),
            t -> {
              invocation.timerId = -1;
              if (queue.remove(invocation)) {
                complete(invocation, new Result.Refused(OVERLOAD_BACKOFF_MILLIS, false));
              }
            });
    startQueued();
    return invocation;
  }

  /** The invocation with this id, or null. */
  public Invocation get(String id) {
    return byId.get(id);
  }

  /**
   * Cancels an invocation on request of its client. One that may have run keeps its key, so that a
   * retry is not sent again.
   */
  public void cancel(Invocation invocation) {
    if (invocation.result() != null) {
      discard(invocation);
    } else if (queue.remove(invocation)) {
      complete(invocation, new Result.Cancelled());
      discard(invocation);
    } else {
      dispatchLoop.abandon(invocation.call);
      finish(invocation, new Result.Cancelled());
    }
  }

  /**
   * Removes a waiter that has gone. Once the last one has, a call without a key is abandoned, as
   * nobody can ask for it again. For one with a key nothing more is sent until a retry joins it,
   * and attempts in flight may finish.
   */
  public void stopWaiting(Invocation invocation, Consumer<Result> waiter) {
    invocation.removeWaiter(waiter);
    if (invocation.isAwaited() || invocation.result() != null) {
      return;
    }
    if (invocation.scopedKey == null) {
      dispatchLoop.abandon(invocation.call);
      finish(invocation, new Result.Cancelled());
    } else {
      counters.add(Count.CALLS_UNATTENDED);
      invocation.call.setClientWaiting(false);
    }
  }

  private void startQueued() {
    while (inFlight < limits.inFlight && !queue.isEmpty()) {
      Invocation invocation = queue.poll();
      cancelTimer(invocation);
      inFlight++;
      start(invocation);
    }
  }

  private void start(Invocation invocation) {
    Request request = invocation.request.withBudget(Math.max(1, invocation.deadline - clock.now()));
    invocation.call =
        dispatchLoop.submit(
            request,
            new Reply() {
              @Override
              public void served(Buffer body) {
                finish(invocation, new Result.Served(body));
              }

              @Override
              public void refused(long backoffMillis) {
                finish(invocation, new Result.Refused(backoffMillis, false));
              }

              @Override
              public void failed(boolean timedOut) {
                finish(invocation, new Result.Failed(timedOut));
              }
            });
  }

  private void finish(Invocation invocation, Result result) {
    if (invocation.result() == null) {
      if (invocation.deferred) {
        inFlight--;
      }
      complete(invocation, result);
      startQueued();
    }
  }

  private void complete(Invocation invocation, Result result) {
    cancelTimer(invocation);
    invocation.endedAt = clock.now();
    if (result instanceof Result.Refused && invocation.scopedKey != null) {
      // It never ran, so a retry with the same key starts a new invocation.
      byKey.remove(invocation.scopedKey, invocation);
    }
    if (invocation.complete(result) && invocation.isKept()) {
      resultBytes += invocation.resultBytes();
      counters.change(Count.INVOCATION_RESULT_BYTES, invocation.resultBytes());
      completed.add(invocation);
      invocation.timerId = vertx.setTimer(limits.keepMillis, t -> discard(invocation));
    }
  }

  /**
   * Discards the oldest results until there is room for another. Returns false where the oldest
   * must keep its key, as a retry within the deduplication window would otherwise be sent anew.
   */
  private boolean makeRoom() {
    while (!completed.isEmpty()
        && (completed.size() >= limits.results || resultBytes >= limits.resultBytes)) {
      Invocation oldest = completed.iterator().next();
      if (clock.now() - oldest.endedAt < dedupWindow) {
        return false;
      }
      discard(oldest);
    }
    return true;
  }

  private void discard(Invocation invocation) {
    cancelTimer(invocation);
    byId.remove(invocation.id(), invocation);
    if (invocation.scopedKey != null
        && clock.now() - invocation.endedAt < dedupWindow
        && !(invocation.result() instanceof Result.Refused)
        && invocation.call != null) {
      // The key stays bound through the deduplication window, so that no retry is sent to a worker.
      long remaining = dedupWindow - (clock.now() - invocation.endedAt);
      invocation.timerId = vertx.setTimer(remaining / 1_000 + 1, t -> discard(invocation));
      return;
    }
    if (invocation.scopedKey != null) {
      byKey.remove(invocation.scopedKey, invocation);
    }
    if (completed.remove(invocation)) {
      resultBytes -= invocation.resultBytes();
      counters.change(Count.INVOCATIONS_HELD, -1);
      counters.change(Count.INVOCATION_BODY_BYTES, -invocation.request.body().length());
      counters.change(Count.INVOCATION_RESULT_BYTES, -invocation.resultBytes());
    }
  }

  private void cancelTimer(Invocation invocation) {
    if (invocation.timerId >= 0) {
      vertx.cancelTimer(invocation.timerId);
      invocation.timerId = -1;
    }
  }
}
