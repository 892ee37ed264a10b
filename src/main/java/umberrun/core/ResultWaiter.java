package umberrun.core;

/** A request that waits for the result of an invocation. Each waiter is called once. */
public interface ResultWaiter {
  /** The result is there, or the invocation counts as timed out for those who wait. */
  void onResult(Result result);

  /**
   * This process is about to end, while another one runs the invocation: its result is not known
   * here, and may still come there.
   */
  void onProcessEnding();
}
