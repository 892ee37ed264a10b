package umberrun.core;

import saddlestall.Dispatcher.CallClass;
import saddlestall.Dispatcher.Idempotency;
import saddlestall.Dispatcher.OutcomeCode;
import umberrun.core.WorkerTransport.AttemptResult;

/** One send of a call to one worker; ends once. */
public final class Attempt {
  private final DispatchLoop owner;
  final Call call;
  final int index;
  private final int worker;
  final long sentAt;
  private final long deadline;

  /** How it ended, or null while it is out. */
  private OutcomeCode complete;

  Attempt(DispatchLoop owner, Call call, int index, int worker, long sentAt, long deadline) {
    this.owner = owner;
    this.call = call;
    this.index = index;
    this.worker = worker;
    this.sentAt = sentAt;
    this.deadline = deadline;
  }

  public int worker() {
    return worker;
  }

  public Request request() {
    return call.request;
  }

  /** When waiting for it ends, on the owner's clock. */
  public long deadline() {
    return deadline;
  }

  /**
   * Guards against a second end of the same attempt: an answer that crosses a time-out or a reset.
   */
  public void complete(AttemptResult ending) {
    if (complete == null) {
      complete = ending.code();
      owner.post(() -> owner.attemptEnded(this, ending));
    }
  }

  /**
   * Whether it may still be written, asked in that instant: it may have waited for a connection.
   * Guards the caller who has gone or has the answer by now, and rule 2: what may have run before
   * allows a repeat only for so long.
   */
  public boolean isWanted(long now) {
    CallClass kind = owner.settings().classes().get(call.request.callClass());
    long window = kind.idempotency() == Idempotency.DEDUPLICATED ? kind.dedupWindow() : 0;
    return call.isAwaited()
        && (kind.idempotency() == Idempotency.IDEMPOTENT
            || call.attempts.stream()
                .noneMatch(a -> a != this && a.mayHaveRun() && now - a.sentAt >= window));
  }

  private boolean mayHaveRun() {
    return complete == null || !complete.notRun;
  }
}
