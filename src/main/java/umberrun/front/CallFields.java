package umberrun.front;

import io.vertx.core.buffer.Buffer;
import saddlestall.Dispatcher.Idempotency;
import saddlestall.Dispatcher.Settings;
import umberrun.core.Request.ResourceHints;

/** Reading of the fields that both fronts take, by the same rules. */
public final class CallFields {
  public static final int MAX_BODY_BYTES = 16 << 10;
  private static final int MOST_KEY = 255;
  private static final int HEX_DIGITS = 16;
  private static final double MOST_LANES = 1_000;
  private static final double MOST_FIGURE = 1e9;

  /** A field that is missing or can't be used; the message says which. */
  public static final class InvalidField extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidField(String message) {
      super(message, null, false, false);
    }
  }

  private CallFields() {}

  /** 16 hex digits as a number. */
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
   * A key as the bytes that came; it travels in a list of fields, so what separates those can't be
   * in it.
   */
  public static Buffer key(String text) throws InvalidField {
    if (text == null) {
      return null;
    }
    boolean plain = text.chars().allMatch(c -> c > ' ' && c < 127 && c != ',' && c != '=');
    if (text.isEmpty() || text.length() > MOST_KEY || !plain) {
      throw new InvalidField(
          "the idempotency key must be 1 to " + MOST_KEY + " visible characters without , and =");
    }
    return Buffer.buffer(text);
  }

  /** Guards rule 2: the workers can't tell a repeat of a keyed call without its key. */
  public static void requireKey(Settings settings, int callClass, Buffer key) throws InvalidField {
    if (key == null
        && settings.classes().get(callClass).idempotency() == Idempotency.DEDUPLICATED) {
      throw new InvalidField("a call of this class needs an idempotency key");
    }
  }

  /** The further figures, as {@code name:value;name:value}; what is unknown is passed over. */
  public static ResourceHints resourceHints(String info) throws InvalidField {
    if (info == null || info.isEmpty()) {
      return ResourceHints.NONE;
    }
    double lanes = ResourceHints.NONE.lanes();
    double memory = 0;
    double load = 0;
    for (String pair : info.split(";")) {
      int colon = pair.indexOf(':');
      String name = colon < 0 ? "" : pair.substring(0, colon);
      switch (name) {
        case "lanes" -> lanes = figure(pair, colon, MOST_LANES);
        case "memory_mb" -> memory = figure(pair, colon, MOST_FIGURE);
        case "load_ms" -> load = figure(pair, colon, MOST_FIGURE);
        default -> {}
      }
    }
    return new ResourceHints(lanes, memory, Math.round(load * 1_000));
  }

  private static double figure(String pair, int colon, double most) throws InvalidField {
    try {
      double value = Double.parseDouble(pair.substring(colon + 1));
      if (value >= 0 && value <= most) {
        return value;
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new InvalidField("not a figure: " + pair);
  }
}
