package umberrun.core;

import java.util.function.Consumer;
import saddlestall.Dispatcher.OutcomeCode;

/** One probe of a worker; ends once. */
public final class WorkerProbe {
  private final DispatchLoop owner;
  private final int worker;
  final long askedAt;
  private final Consumer<OutcomeCode> then;
  private boolean ended;

  WorkerProbe(DispatchLoop owner, int worker, long askedAt) {
    this(owner, worker, askedAt, null);
  }

  /**
   * @param then is told of the end in the place of the module, or null
   */
  WorkerProbe(DispatchLoop owner, int worker, long askedAt, Consumer<OutcomeCode> then) {
    this.owner = owner;
    this.worker = worker;
    this.askedAt = askedAt;
    this.then = then;
  }

  public int worker() {
    return worker;
  }

  /** Guards, as for an attempt, against a second end. */
  public void complete(OutcomeCode code, float[] report) {
    if (!ended) {
      ended = true;
      owner.post(
          () -> {
            if (then != null) {
              then.accept(code);
            } else {
              owner.probeEnded(this, code, report);
            }
          });
    }
  }
}
