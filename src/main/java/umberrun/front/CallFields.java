package umberrun.front;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.Idempotency;
import saddlestall.Dispatcher.Settings;
import umberrun.core.Request.ResourceHints;

/** Parses the call fields that the RPC server and the invoke API have in common. */
public final class CallFields {
  /** The longest body of a call. */
  public static final int MAX_BODY_BYTES = 16 << 10;

  private static final int MAX_KEY_LENGTH = 255;
  private static final int HEX_DIGITS = 16;
  private static final double MAX_LANES = 1_000;
  private static final double MAX_RESOURCE_HINT = 1e9;

  /** Thrown for a missing or invalid field; the message names it. */
  public static final class InvalidField extends Exception {
    private static final long serialVersionUID = 1;

    /** Creates the exception without a stack trace, as client input causes it. */
    public InvalidField(String message) {
      super(message, null, false, false);
    }
  }

  private CallFields() {}

  /**
   * Parses 16 hexadecimal digits.
   *
   * @param name name of the field, for the error message
   * @param text may be null, which is invalid
   */
  public static long hex(String name, String text) throws InvalidField {
    if (text != null
        && text.length() == HEX_DIGITS
        && text.chars().allMatch(c -> Character.digit(c, 16) >= 0)
        && text.chars().allMatch(c -> c < 128)) {
      return Long.parseUnsignedLong(text, 16);
    }
    throw new InvalidField(name + " must be 16 hex digits");
  }

  /**
   * Checks an idempotency key and returns its bytes, or null if there is none. The key is sent to
   * workers in a comma-separated list of {@code name=value} fields, so it cannot contain the
   * separators.
   */
  public static Buffer key(String text) throws InvalidField {
    if (text == null) {
      return null;
    }
    boolean plain = text.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '=');
    if (text.isEmpty() || text.length() > MAX_KEY_LENGTH || !plain) {
      throw new InvalidField(
          "the idempotency key must be 1 to "
              + MAX_KEY_LENGTH
              + " visible characters without , and =");
    }
    return Buffer.buffer(text);
  }

  /**
   * Rejects a call without a key where its class relies on deduplication: the workers recognize a
   * repeated call by its key only.
   */
  public static void requireKey(Settings settings, int callClass, Buffer key) throws InvalidField {
    if (key == null
        && settings.classes().get(callClass).idempotency() == Idempotency.DEDUPLICATED) {
      throw new InvalidField("a call of this class needs an idempotency key");
    }
  }

  /**
   * Parses resource hints of the form {@code name:value;name:value}; unknown names are ignored.
   *
   * @param info may be null or empty, for no hints
   */
  public static ResourceHints resourceHints(String info) throws InvalidField {
    if (info == null || info.isEmpty()) {
      return ResourceHints.NONE;
    }
    double lanes = ResourceHints.NONE.lanes();
    double memoryMb = 0;
    double loadMillis = 0;
    for (String pair : info.split(";")) {
      int colon = pair.indexOf(':');
      String name = colon < 0 ? "" : pair.substring(0, colon);
      switch (name) {
        case "lanes" -> lanes = parseHint(pair, colon, MAX_LANES);
        case "memory_mb" -> memoryMb = parseHint(pair, colon, MAX_RESOURCE_HINT);
        case "load_ms" -> loadMillis = parseHint(pair, colon, MAX_RESOURCE_HINT);
        default -> {}
      }
    }
    return new ResourceHints(lanes, memoryMb, Math.round(loadMillis * 1_000));
  }

  private static double parseHint(String pair, int colon, double max) throws InvalidField {
    try {
      double value = Double.parseDouble(pair.substring(colon + 1));
      if (value >= 0 && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new InvalidField("not a figure: " + pair);
  }
}
