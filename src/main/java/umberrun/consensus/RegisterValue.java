package umberrun.consensus;

import java.nio.charset.StandardCharsets;

/** What a register holds: each change that changes something has the next version. */
public record RegisterValue(long version, String text) {
  public static final RegisterValue NONE = new RegisterValue(0, "");

  /** Bytes of a text at the most. */
  public static final int MAX_BYTES = 64 << 10;

  /** Whether a voter takes it. */
  public boolean isShort() {
    return text.length() <= MAX_BYTES && text.getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES;
  }

  /** The value that follows with another text. */
  public RegisterValue withText(String other) {
    return new RegisterValue(version + 1, other);
  }

  @Override
  public String toString() {
    return version + ":" + text;
  }
}
