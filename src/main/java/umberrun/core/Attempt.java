package umberrun.core;

import umberrun.core.WorkerPort.Ending;

/** One send of a call to one worker; ends once. */
public final class Attempt {
  private final Owner owner;
  final Call call;
  final int index;
  private final int worker;
  final long sentAt;
  private final long deadline;
  private boolean ended;

  Attempt(Owner owner, Call call, int index, int worker, long sentAt, long deadline) {
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

  /** Guards against a second end of the same attempt: an answer that crosses a time-out or a reset. */
  public void end(Ending ending) {
    if (!ended) {
      ended = true;
      owner.post(() -> owner.ended(this, ending));
    }
  }
}
