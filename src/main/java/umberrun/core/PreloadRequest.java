package umberrun.core;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.OutcomeCode;

/**
 * A request to a worker to load copies of a function and keep them loaded. It completes exactly
 * once.
 */
public final class PreloadRequest {
  private final DispatchLoop dispatchLoop;
  private final int worker;
  final long function;
  private final Buffer functionBytes;
  private final int copies;
  final long sentAt;
  private boolean completed;

  PreloadRequest(
      DispatchLoop dispatchLoop,
      int worker,
      long function,
      Buffer functionBytes,
      int copies,
      long sentAt) {
    this.dispatchLoop = dispatchLoop;
    this.worker = worker;
    this.function = function;
    this.functionBytes = functionBytes;
    this.copies = copies;
    this.sentAt = sentAt;
  }

  /** The number of the worker. */
  public int worker() {
    return worker;
  }

  /** The function as clients write it. */
  public Buffer function() {
    return functionBytes;
  }

  /** How many copies the worker should hold. */
  public int copies() {
    return copies;
  }

  /**
   * Completes the request; only the first result counts, as for an {@link Attempt}.
   *
   * @param loadedCopies how many copies the worker reports as loaded
   */
  public void complete(OutcomeCode code, int loadedCopies) {
    if (!completed) {
      completed = true;
      dispatchLoop.post(() -> dispatchLoop.preloadEnded(this, code, loadedCopies));
    }
  }
}
