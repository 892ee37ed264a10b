package umberrun.front.invoke;

import io.vertx.core.MultiMap;

/**
 * The supported preferences of the {@code Prefer} header (RFC 7240); others are ignored.
 *
 * @param async whether {@code respond-async} was given
 * @param waitMillis the {@code wait} preference in milliseconds, or -1 if absent
 */
record PreferHeader(boolean async, long waitMillis) {

  /** Parses all {@code Prefer} headers of a request. */
  static PreferHeader of(MultiMap headers) throws Problem {
    boolean async = false;
    long waitMillis = -1;
    for (String header : headers.getAll("Prefer")) {
      for (String item : header.split("[,;]")) {
        String preference = item.trim();
        if (preference.equalsIgnoreCase("respond-async")) {
          async = true;
        } else if (preference.regionMatches(true, 0, "wait=", 0, 5)) {
          waitMillis = parseSeconds(preference.substring(5));
        }
      }
    }
    return new PreferHeader(async, waitMillis);
  }

  /** Converts a number of seconds to milliseconds. */
  private static long parseSeconds(String text) throws Problem {
    try {
      int seconds = Integer.parseInt(text.trim());
      if (seconds >= 0) {
        return seconds * 1_000L;
      }
    } catch (NumberFormatException e) {
      // reported below
    }
    throw new Problem(400, "Prefer: wait must be a whole number of seconds");
  }
}
