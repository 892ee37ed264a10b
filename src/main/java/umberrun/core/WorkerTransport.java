package umberrun.core;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.OutcomeCode;

/** The way to the workers. Each thing handed over ends once, through the owner's queue. */
public interface WorkerTransport {
  /**
   * News of a worker; {@code stopAt} is from when on nothing new may be written to it, the greatest
   * long for never.
   */
  void update(int worker, Endpoint endpoint, long stopAt);

  void run(Attempt attempt);

  void cancel(Attempt attempt);

  void preload(PreloadRequest order);

  void probe(WorkerProbe probing);

  /** Unloads a function's idle copies; nothing is heard of it. */
  void unload(int worker, Buffer function);

  void closeIdle(int worker);

  /**
   * How an attempt ended: {@code concurrency} is -1 where it was not told, {@code body} null unless
   * served.
   */
  record AttemptResult(
      OutcomeCode code, CopyStatus copyStatus, int concurrency, float[] loadReport, Buffer body) {
    public static AttemptResult of(OutcomeCode code) {
      return new AttemptResult(code, CopyStatus.NONE, -1, null, null);
    }
  }
}
