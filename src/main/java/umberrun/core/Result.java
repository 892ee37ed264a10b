package umberrun.core;

import io.vertx.core.buffer.Buffer;

/** How an invocation ended. */
public sealed interface Result {
  /** The worker's bytes, unchanged. */
  record Served(Buffer body) implements Result {}

  /** Never run; {@code overloaded} where it was not taken at all. */
  record Refused(long backoffMillis, boolean overloaded) implements Result {}

  /** May have run; {@code timedOut} where the time was up. */
  record Failed(boolean timedOut) implements Result {}

  /** Its client gave it up. */
  record Cancelled() implements Result {}
}
