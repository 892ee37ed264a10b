package umberrun.core;

import io.vertx.core.buffer.Buffer;

/** Receives the final answer of a call. Exactly one of these methods is called, once. */
public interface Reply {
  /**
   * The call was served.
   *
   * @param body the worker's bytes, unchanged
   */
  void served(Buffer body);

  /** The call did not run, so a retry does no harm, preferably after {@code backoffMillis}. */
  void refused(long backoffMillis);

  /**
   * The call was not served and may have run.
   *
   * @param timedOut whether its deadline has passed
   */
  void failed(boolean timedOut);
}
