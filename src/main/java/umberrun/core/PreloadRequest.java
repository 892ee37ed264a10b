package umberrun.core;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.OutcomeCode;

/** One order to hold copies; ends once. */
public final class PreloadRequest {
  private final DispatchLoop owner;
  private final int worker;
  final long function;
  private final Buffer functionBytes;
  private final int copies;
  final long givenAt;
  private boolean ended;

  PreloadRequest(
      DispatchLoop owner,
      int worker,
      long function,
      Buffer functionBytes,
      int copies,
      long givenAt) {
    this.owner = owner;
    this.worker = worker;
    this.function = function;
    this.functionBytes = functionBytes;
    this.copies = copies;
    this.givenAt = givenAt;
  }

  public int worker() {
    return worker;
  }

  public Buffer function() {
    return functionBytes;
  }

  public int copies() {
    return copies;
  }

  /** Guards, as for an attempt, against a second end. */
  public void complete(OutcomeCode code, int standing) {
    if (!ended) {
      ended = true;
      owner.post(() -> owner.preloadEnded(this, code, standing));
    }
  }
}
