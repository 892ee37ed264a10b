package umberrun.core;

import java.util.function.Consumer;
import saddlestall.Dispatcher.OutcomeCode;

/** A probe of a worker's health. It completes exactly once. */
public final class WorkerProbe {
  private final DispatchLoop dispatchLoop;
  private final int worker;
  final long sentAt;
  private final Consumer<OutcomeCode> callback;
  private boolean completed;

  WorkerProbe(DispatchLoop dispatchLoop, int worker, long sentAt) {
    this(dispatchLoop, worker, sentAt, null);
  }

  /**
   * @param callback receives the outcome in place of the dispatcher, or null
   */
  WorkerProbe(DispatchLoop dispatchLoop, int worker, long sentAt, Consumer<OutcomeCode> callback) {
    this.dispatchLoop = dispatchLoop;
    this.worker = worker;
    this.sentAt = sentAt;
    this.callback = callback;
  }

  /** The number of the worker. */
  public int worker() {
    return worker;
  }

  /**
   * Completes the probe; only the first result counts, as for an {@link Attempt}.
   *
   * @param report the load report of the worker, or null
   */
  public void complete(OutcomeCode code, float[] report) {
    if (!completed) {
      completed = true;
      dispatchLoop.post(
          () -> {
            if (callback != null) {
              callback.accept(code);
            } else {
              dispatchLoop.probeEnded(this, code, report);
            }
          });
    }
  }
}
