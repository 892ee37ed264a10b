package umberrun.core;

import io.vertx.core.buffer.Buffer;

/**
 * A client's call as a front has decoded it. What goes on unchanged is kept as the bytes that came;
 * the rest are the fields that decisions need.
 *
 * @param requestId the id under which the worker is asked
 * @param functionBytes the function as the client wrote it; {@code function} is the same as a
 *     number
 * @param key the idempotency key, or null
 * @param budget how long the client waits from now on, in microseconds
 */
public record Request(
    Buffer requestId,
    int callClass,
    int tenant,
    Buffer functionBytes,
    long function,
    Buffer key,
    long budget,
    boolean retry,
    ResourceHints resourceHints,
    Buffer body) {

  /**
   * The further figures of a call: lanes and memory of a copy, usual time of a load in
   * microseconds.
   */
  public record ResourceHints(double lanes, double memoryMb, long loadTime) {
    public static final ResourceHints NONE = new ResourceHints(1, 0, 0);
  }

  Request withBudget(long left) {
    return new Request(
        requestId,
        callClass,
        tenant,
        functionBytes,
        function,
        key,
        left,
        retry,
        resourceHints,
        body);
  }
}
