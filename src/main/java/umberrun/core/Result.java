package umberrun.core;

import io.vertx.core.buffer.Buffer;

/** How an invocation ended. */
public sealed interface Result {
  /**
   * Served.
   *
   * @param body the worker's bytes, unchanged
   */
  record Served(Buffer body) implements Result {}

  /**
   * Not run.
   *
   * @param backoffMillis after how long a retry is best sent
   * @param overloaded whether it was refused at once for lack of room
   */
  record Refused(long backoffMillis, boolean overloaded) implements Result {}

  /**
   * Failed, and may have run.
   *
   * @param timedOut whether its deadline has passed
   */
  record Failed(boolean timedOut) implements Result {}

  /** Served, and the worker's bytes are no longer kept for want of memory. */
  record Dropped() implements Result {}

  /** Cancelled by its client. */
  record Cancelled() implements Result {}
}
