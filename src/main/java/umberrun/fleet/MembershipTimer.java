package umberrun.fleet;

/**
 * Identifies a timer of the membership; at most one of the same kind and subject runs at a time.
 *
 * @param subject the name of the suspected member, or the sequence number of a forwarded probe;
 *     empty for the other kinds
 */
public record MembershipTimer(Kind kind, String subject) {
  /** What the timer triggers. */
  public enum Kind {
    /** The next probe, at the end of the probe interval. */
    PROBE,
    /** Indirect probes, as the direct one had no response in time. */
    PROBE_TIMEOUT,
    /** The response to a ping request whose target did not answer. */
    FORWARDED_PROBE,
    /** The end of a suspicion. */
    SUSPICION,
    /** The next full exchange. */
    EXCHANGE,
    /** The next attempt to reach seeds and dead members. */
    RECONNECT
  }

  static MembershipTimer of(Kind kind) {
    return new MembershipTimer(kind, "");
  }
}
