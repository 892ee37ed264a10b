package umberrun.consensus;

import java.nio.charset.StandardCharsets;

/**
 * The content of a register.
 *
 * @param version 0 for a register that was never written; each change that alters the text adds one
 * @param text the content, empty for a register that was never written
 */
public record RegisterValue(long version, String text) {
  /** The value of a register that was never written. */
  public static final RegisterValue NONE = new RegisterValue(0, "");

  /** Maximum size of a text in UTF-8. */
  public static final int MAX_BYTES = 64 << 10;

  /**
   * Whether the text is within {@link #MAX_BYTES}; voters do not answer requests to accept longer
   * ones.
   */
  public boolean isWithinMaxBytes() {
    return text.length() <= MAX_BYTES && text.getBytes(StandardCharsets.UTF_8).length <= MAX_BYTES;
  }

  /** The next version, with another text. */
  public RegisterValue withText(String newText) {
    return new RegisterValue(version + 1, newText);
  }

  @Override
  public String toString() {
    return version + ":" + text;
  }
}
