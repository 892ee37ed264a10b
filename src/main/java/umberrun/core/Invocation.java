package umberrun.core;

import java.util.ArrayList;
import java.util.List;

/**
 * A call whose result may be fetched more than once: by its id, or by a retry with the same
 * idempotency key. It is run by this process or by another one of the same front end. Times are
 * Unix microseconds.
 */
public final class Invocation {
  /**
   * Memory that an invocation takes beside its key and the body of its result, in bytes: objects,
   * the entries of the maps, its timer.
   */
  private static final int FIXED_BYTES = 1_024;

  /** Between the owner and the key in a scoped key; keys do not contain it. */
  private static final char OWNER_SEPARATOR = '\n';

  private final String id;

  /** The idempotency key together with the client that it belongs to, or null. */
  final String scopedKey;

  /** What repeats under the key are compared with; null without a key. */
  final CallFingerprint fingerprint;

  /** The process that runs it. */
  final String process;

  /** Whether that is this process. */
  final boolean local;

  /** Whether it waits in the queue for deferred calls before it runs here. */
  final boolean deferred;

  final long deadline;

  /** The request; null once the invocation is over, as its body may be long. */
  private Request request;

  private final List<ResultWaiter> waiters = new ArrayList<>(1);
  private Result result;

  /** The call that runs this invocation, or null before it starts and once it is over. */
  Call call;

  /** Whether it may have been submitted to a dispatch loop, so that it may have run. */
  private boolean started;

  /** Whether a client was given a location to collect the result at, and it is still there. */
  boolean collectable;

  /** Whether a repeat has joined it at another process, so that a client may wait there. */
  boolean joinedElsewhere;

  /** The Vert.x timer of the queue timeout, the deadline or the retention, or -1. */
  long timerId = -1;

  long endedAt;

  /** An invocation that this process runs. */
  Invocation(
      String id,
      String scopedKey,
      Request request,
      boolean deferred,
      long deadline,
      String process) {
    this.id = id;
    this.scopedKey = scopedKey;
    this.fingerprint = scopedKey == null ? null : CallFingerprint.of(request);
    this.request = request;
    this.deferred = deferred;
    this.collectable = deferred;
    this.deadline = deadline;
    this.process = process;
    this.local = true;
  }

  /** An invocation that another process has accepted. */
  Invocation(InvocationEntry.Accepted accepted, long deadline) {
    this.id = accepted.id();
    this.scopedKey = accepted.scopedKey();
    this.fingerprint = accepted.fingerprint();
    this.collectable = accepted.collectable();
    this.deadline = deadline;
    this.process = accepted.process();
    this.deferred = false;
    this.local = false;
    this.started = true;
  }

  /** The id under which clients fetch the result. */
  public String id() {
    return id;
  }

  /** The result, or null while there is none. */
  public Result result() {
    return result;
  }

  /** The client that its key belongs to; empty without a key. */
  String owner() {
    return scopedKey == null ? "" : scopedKey.substring(0, scopedKey.indexOf(OWNER_SEPARATOR));
  }

  /** A key together with the client that it belongs to: equal keys of others are different. */
  static String scopedKey(String owner, Object key) {
    return owner + OWNER_SEPARATOR + key;
  }

  /** Whether it is kept after its end, for its result or its key. */
  boolean isKept() {
    return deferred || scopedKey != null;
  }

  /** The request; to be called before the invocation is over. */
  Request request() {
    return request;
  }

  /** The size of the request's body in bytes while it is held, else 0. */
  int requestBodyBytes() {
    return request == null ? 0 : request.body().length();
  }

  /** Sets the call that runs this invocation. */
  void start(Call running) {
    call = running;
    started = true;
  }

  /** Whether the call may have taken effect, as far as its result tells. */
  boolean mayHaveRun() {
    return started && !(result instanceof Result.Refused);
  }

  /** What a completed invocation takes, in bytes. */
  int memoryBytes() {
    return FIXED_BYTES + (scopedKey == null ? 0 : scopedKey.length()) + resultBytes();
  }

  /** Gives up the body of the result. */
  void dropResult() {
    result = new Result.Dropped();
  }

  /** Passes the result to {@code waiter} once it is there; at once if it is. */
  public void await(ResultWaiter waiter) {
    if (result != null) {
      waiter.onResult(result);
    } else {
      waiters.add(waiter);
    }
  }

  /** Removes a waiter that was added by {@link #await}. */
  void removeWaiter(ResultWaiter waiter) {
    waiters.remove(waiter);
  }

  /** Has those who wait be answered without the result, since this process is about to end. */
  void dismissWaiters() {
    removeWaiters().forEach(ResultWaiter::onProcessEnding);
  }

  /** Answers those who wait now; the result of the invocation may still come. */
  void answerWaiters(Result answer) {
    removeWaiters().forEach(waiter -> waiter.onResult(answer));
  }

  private List<ResultWaiter> removeWaiters() {
    List<ResultWaiter> removed = List.copyOf(waiters);
    waiters.clear();
    return removed;
  }

  /** Whether a client may wait for the result, here or at another process, or still fetch it. */
  boolean isAwaited() {
    return collectable || joinedElsewhere || !waiters.isEmpty();
  }

  /**
   * Sets the result and notifies the waiters. Returns false, and changes nothing, where there is a
   * result already.
   */
  boolean complete(Result value) {
    if (result != null) {
      return false;
    }
    result = value;
    request = null;
    call = null;
    answerWaiters(value);
    return true;
  }

  /** Whether another one with the same key is a retry of this one, rather than a different call. */
  boolean isSameCall(Invocation other) {
    return fingerprint.equals(other.fingerprint);
  }

  /** The size of the result's body in bytes. */
  int resultBytes() {
    return result instanceof Result.Served s ? s.body().length() : 0;
  }
}
