package umberrun.agreement;

import java.nio.charset.StandardCharsets;

/** What a register holds: each change that changes something has the next version. */
public record Value(long version, String text) {
  public static final Value NONE = new Value(0, "");

  /** Bytes of a text at the most. */
  public static final int MOST_BYTES = 64 << 10;

  /** Whether a voter takes it. */
  public boolean isShort() {
    return text.length() <= MOST_BYTES
        && text.getBytes(StandardCharsets.UTF_8).length <= MOST_BYTES;
  }

  /** The value that follows with another text. */
  public Value next(String other) {
    return new Value(version + 1, other);
  }

  @Override
  public String toString() {
    return version + ":" + text;
  }
}
