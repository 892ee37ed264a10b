package umberrun.core;

import io.vertx.core.buffer.Buffer;

/**
 * A client's call as a front has decoded it. What is passed on unchanged is kept as the bytes that
 * were received; the other fields serve decisions.
 *
 * @param requestId the id under which the worker is called, 16 hexadecimal digits
 * @param callClass index of the call class in the settings
 * @param tenant index of the tenant in the settings
 * @param functionBytes the function as the client wrote it
 * @param function the function as a number, for comparisons
 * @param key the idempotency key, or null
 * @param budget how long the client waits from now on, in microseconds
 * @param retry whether the client marks the call as a retry
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

  private static final int HEX_RADIX = 16;

  /**
   * Resource needs of the called function.
   *
   * @param lanes how many calls one copy runs at once
   * @param memoryMb memory of a copy in MB; 0 if not given
   * @param loadTime usual time to load a copy, in microseconds; 0 if not given
   */
  public record ResourceHints(double lanes, double memoryMb, long loadTime) {
    /** The hints of a call that carries none. */
    public static final ResourceHints NONE = new ResourceHints(1, 0, 0);
  }

  /** The request id as a number. */
  long idNumber() {
    return Long.parseUnsignedLong(requestId.toString(), HEX_RADIX);
  }

  /** This request for a client that has waited for some microseconds already. */
  public Request afterWaiting(long micros) {
    return withBudget(Math.max(1, budget - micros));
  }

  /** This request with another budget, in microseconds. */
  Request withBudget(long remaining) {
    return new Request(
        requestId,
        callClass,
        tenant,
        functionBytes,
        function,
        key,
        remaining,
        retry,
        resourceHints,
        body);
  }
}
