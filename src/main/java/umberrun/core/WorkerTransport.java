package umberrun.core;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.OutcomeCode;

/**
 * Sends commands to workers. Each attempt, preload request and probe that is handed over completes
 * exactly once, through the queue of the dispatch loop.
 */
public interface WorkerTransport {
  /**
   * Updates the address and state of a worker.
   *
   * @param stopAt from when on nothing new may be written to it, in Unix microseconds; {@link
   *     Long#MAX_VALUE} for never
   */
  void update(int worker, Endpoint endpoint, long stopAt);

  /** Sends an attempt. */
  void run(Attempt attempt);

  /** Cancels an attempt, where the worker still runs it. */
  void cancel(Attempt attempt);

  /** Asks a worker to load copies of a function. */
  void preload(PreloadRequest request);

  /** Probes a worker. */
  void probe(WorkerProbe probe);

  /** Unloads the idle copies of a function; the result is not reported. */
  void unload(int worker, Buffer function);

  /** Closes idle connections to a worker. */
  void closeIdle(int worker);

  /**
   * How an attempt ended.
   *
   * @param concurrency the number of calls at the copy as the worker reported it, or -1
   * @param loadReport the load report of the worker, or null
   * @param body the body of the worker's reply, or null if there was none
   */
  record AttemptResult(
      OutcomeCode code, CopyStatus copyStatus, int concurrency, float[] loadReport, Buffer body) {
    /** A result with nothing but its code. */
    public static AttemptResult of(OutcomeCode code) {
      return new AttemptResult(code, CopyStatus.NONE, -1, null, null);
    }
  }
}
