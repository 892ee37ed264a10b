package umberrun.core;

import io.vertx.core.buffer.Buffer;

/** Where the one final answer of a call goes. Exactly one of these is called, once. */
public interface Reply {
  /** The worker's bytes, unchanged. */
  void served(Buffer body);

  /** Not done: trying again does no harm, best after so many milliseconds. */
  void refused(long backoffMillis);

  /** Not served, nothing promised; {@code overdue} where the time was up. */
  void failed(boolean overdue);
}
