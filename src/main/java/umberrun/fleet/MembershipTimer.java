package umberrun.fleet;

/** A wait of the membership; one of the same kind and subject at a time. */
public record MembershipTimer(Kind kind, String subject) {
  /** What is waited for. */
  public enum Kind {
    PROBE,
    DIRECT,
    FORWARD,
    SUSPICION,
    EXCHANGE,
    RECONNECT
  }

  static MembershipTimer of(Kind kind) {
    return new MembershipTimer(kind, "");
  }
}
