package umberrun.core;

/**
 * Remembers the requests that may not run twice, so that none of them runs again when it comes
 * again: at the same process, or at another one of the same front end. To be used on the event
 * loop.
 */
public interface RequestClaims {
  /** How long a claim is remembered at the least, in microseconds. */
  long KEPT_MICROS = 30_000_000;

  /** The answer to a claim. */
  enum Outcome {
    /** The request may run, here only. */
    GRANTED,
    /** The request has been claimed before, and may have run. */
    TAKEN,
    /** It can't be remembered that the request runs, so it must not. */
    UNAVAILABLE
  }

  /** Claims a request. */
  Outcome claim(long requestId);

  /** Gives up a claim that was granted here, since the request has not run. */
  void release(long requestId);
}
