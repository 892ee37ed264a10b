package umberrun.fleet;

/** A wait of the membership; one of the same kind and subject at a time. */
public record Timer(Kind kind, String subject) {
  /** What is waited for. */
  public enum Kind {
    PROBE,
    DIRECT,
    FORWARD,
    SUSPICION,
    EXCHANGE,
    RECONNECT
  }

  static Timer of(Kind kind) {
    return new Timer(kind, "");
  }
}
