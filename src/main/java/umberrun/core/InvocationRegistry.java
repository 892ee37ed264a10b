package umberrun.core;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import java.util.ArrayDeque;
import java.util.HashMap;
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
   * @param queueBytes total size of their bodies in bytes
   * @param inFlight how many deferred invocations run at once
   * @param results how many completed invocations are kept
   * @param resultBytes what completed invocations may take in memory, in bytes
   * @param keepMillis how long a result is kept, in milliseconds
   */
  public record Limits(
      int queue, long queueBytes, int inFlight, int results, long resultBytes, long keepMillis) {}

  private static final long OVERLOAD_BACKOFF_MILLIS = 1_000;

  private final Vertx vertx;
  private final Clock clock;
  private final DispatchLoop dispatchLoop;
  private final Counters counters;
  private final Limits limits;

  private final Map<String, Invocation> byId = new HashMap<>();
  private final Map<String, Invocation> byKey = new HashMap<>();
  private final ArrayDeque<Invocation> queue = new ArrayDeque<>();

  private final InvocationRetention retention;

  /** Deferred invocations that run. */
  private int inFlight;

  /** Total size of the bodies of queued invocations. */
  private long queuedBytes;

  /** Invocations that are queued, run or are kept. */
  private int held;

  /** Total size of their request bodies. */
  private long heldBodyBytes;

  public InvocationRegistry(
      Vertx vertx, Clock clock, DispatchLoop dispatchLoop, Counters counters, Limits limits) {
    this.vertx = vertx;
    this.clock = clock;
    this.dispatchLoop = dispatchLoop;
    this.counters = counters;
    this.limits = limits;
    long longestDedupWindow =
        dispatchLoop.settings().classes().stream().mapToLong(c -> c.dedupWindow()).max().orElse(0);
    this.retention =
        new InvocationRetention(limits.results, limits.resultBytes, longestDedupWindow);
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
    if (deferred && !hasRoomInQueue(request) || invocation.isKept() && !makeRoom()) {
      counters.add(Count.DEFERRED_REFUSED);
      invocation.complete(new Result.Refused(OVERLOAD_BACKOFF_MILLIS, true));
      return invocation;
    }
    if (invocation.isKept()) {
      held++;
      heldBodyBytes += invocation.requestBodyBytes();
      publishLevels();
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
    queuedBytes += invocation.requestBodyBytes();
    // A call that is still queued at its deadline never ran, so it is refused: a retry does no
    // harm.
    invocation.timerId =
        vertx.setTimer(
            Math.max(1, request.budget() / 1_000),
            t -> {
              invocation.timerId = -1;
              if (removeFromQueue(invocation)) {
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
    } else if (removeFromQueue(invocation)) {
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
      Invocation invocation = queue.peek();
      removeFromQueue(invocation);
      cancelTimer(invocation);
      inFlight++;
      start(invocation);
    }
  }

  private boolean hasRoomInQueue(Request request) {
    return queue.size() < limits.queue
        && queuedBytes + request.body().length() <= limits.queueBytes;
  }

  /** Takes an invocation out of the queue; false if it is not queued. */
  private boolean removeFromQueue(Invocation invocation) {
    if (!queue.remove(invocation)) {
      return false;
    }
    queuedBytes -= invocation.requestBodyBytes();
    return true;
  }

  private void start(Invocation invocation) {
    Request request =
        invocation.request().withBudget(Math.max(1, invocation.deadline - clock.now()));
    invocation.start(
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
            }));
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
    int bodyBytes = invocation.requestBodyBytes();
    if (invocation.complete(result) && invocation.isKept()) {
      heldBodyBytes -= bodyBytes;
      retention.add(invocation);
      invocation.timerId = vertx.setTimer(limits.keepMillis, t -> discard(invocation));
      publishLevels();
    }
  }

  /**
   * Discards the oldest invocations until there is room for another. Returns false where the oldest
   * must keep its key.
   */
  private boolean makeRoom() {
    while (!retention.hasRoom()) {
      Invocation oldest = retention.evictable(clock.now());
      if (oldest == null) {
        return false;
      }
      discard(oldest);
    }
    return true;
  }

  private void discard(Invocation invocation) {
    cancelTimer(invocation);
    byId.remove(invocation.id(), invocation);
    if (invocation.scopedKey != null && retention.mustKeepKey(invocation, clock.now())) {
      // The key stays bound through the deduplication window, so that no retry is sent to a worker.
      long remaining = retention.keyKeptUntil(invocation) - clock.now();
      invocation.timerId =
          vertx.setTimer(Math.max(1, remaining / 1_000 + 1), t -> discard(invocation));
      return;
    }
    if (invocation.scopedKey != null) {
      byKey.remove(invocation.scopedKey, invocation);
    }
    if (retention.remove(invocation)) {
      held--;
      publishLevels();
    }
  }

  private void publishLevels() {
    counters.set(Count.INVOCATIONS_HELD, held);
    counters.set(Count.INVOCATION_BODY_BYTES, heldBodyBytes);
    counters.set(Count.INVOCATION_RESULT_BYTES, retention.bytes());
  }

  private void cancelTimer(Invocation invocation) {
    if (invocation.timerId >= 0) {
      vertx.cancelTimer(invocation.timerId);
      invocation.timerId = -1;
    }
  }
}
