package umberrun.core;

import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.Idempotency;
import saddlestall.Dispatcher.OutcomeCode;
import umberrun.core.WorkerTransport.AttemptResult;

/** One transmission of a call to one worker. It completes exactly once. */
public final class Attempt {
  private final DispatchLoop dispatchLoop;
  final Call call;
  final int index;
  private final int worker;
  final long sentAt;
  private final long deadline;

  /** The outcome, or null while the attempt is in flight. */
  private OutcomeCode outcome;

  Attempt(DispatchLoop dispatchLoop, Call call, int index, int worker, long sentAt, long deadline) {
    this.dispatchLoop = dispatchLoop;
    this.call = call;
    this.index = index;
    this.worker = worker;
    this.sentAt = sentAt;
    this.deadline = deadline;
  }

  /** The number of the worker that this attempt goes to. */
  public int worker() {
    return worker;
  }

  /** The request that this attempt carries. */
  public Request request() {
    return call.request;
  }

  /** When this attempt times out, in Unix microseconds of the dispatch loop's {@link Clock}. */
  public long deadline() {
    return deadline;
  }

  /**
   * Completes the attempt. Only the first result counts: a response may cross a timeout or a reset
   * of the connection.
   */
  public void complete(AttemptResult result) {
    if (outcome == null) {
      outcome = result.code();
      dispatchLoop.post(() -> dispatchLoop.attemptEnded(this, result));
    }
  }

  /**
   * Whether the attempt may still be written to its worker at time {@code now}; checked just before
   * the write, as the attempt may have waited for a connection.
   *
   * <p>It may not once the client has gone or has its answer. A call must not take effect twice, so
   * unless its class is idempotent it also may not while another attempt may have run and was sent
   * longer ago than the deduplication window, which is zero for classes without deduplication.
   */
  public boolean isWanted(long now) {
    CallClass callClass = dispatchLoop.settings().classes().get(call.request.callClass());
    long dedupWindow =
        callClass.idempotency() == Idempotency.DEDUPLICATED ? callClass.dedupWindow() : 0;
    return call.isAwaited()
        && (callClass.idempotency() == Idempotency.IDEMPOTENT
            || call.attempts.stream()
                .noneMatch(
                    other ->
                        other != this && other.mayHaveRun() && now - other.sentAt >= dedupWindow));
  }

  /** The outcome, or null while the attempt is in flight. */
  OutcomeCode outcome() {
    return outcome;
  }

  private boolean mayHaveRun() {
    return outcome == null || !outcome.notRun;
  }
}
