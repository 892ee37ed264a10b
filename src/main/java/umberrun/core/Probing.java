package umberrun.core;

import saddlestall.Dispatcher.Code;

/** One probe of a worker; ends once. */
public final class Probing {
  private final Owner owner;
  private final int worker;
  final long askedAt;
  private boolean ended;

  Probing(Owner owner, int worker, long askedAt) {
    this.owner = owner;
    this.worker = worker;
    this.askedAt = askedAt;
  }

  public int worker() {
    return worker;
  }

  /** Guards, as for an attempt, against a second end. */
  public void end(Code code, float[] report) {
    if (!ended) {
      ended = true;
      owner.post(() -> owner.probed(this, code, report));
    }
  }
}
