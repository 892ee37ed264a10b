package umberrun.core;

import io.vertx.core.buffer.Buffer;

/** How an invocation ended. */
public sealed interface Result {
  /** The worker's bytes, unchanged. */
  record Served(Buffer body) implements Result {}

  /** Never run; {@code crowded} where it was not taken at all. */
  record Refused(long backoffMillis, boolean crowded) implements Result {}

  /** May have run; {@code overdue} where the time was up. */
  record Failed(boolean overdue) implements Result {}

  /** Its client gave it up. */
  record Cancelled() implements Result {}
}
