package umberrun.agreement;

/** What a register holds: each change that changes something has the next version. */
public record Value(long version, String text) {
  public static final Value NONE = new Value(0, "");
  /** Bytes of a text at the most. */
  public static final int MOST_BYTES = 64 << 10;

  /** The value that follows with another text. */
  public Value next(String other) {
    return new Value(version + 1, other);
  }
}
