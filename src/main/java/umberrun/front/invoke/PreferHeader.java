package umberrun.front.invoke;

import io.vertx.core.MultiMap;

/**
 * What a {@code Prefer} header asks for (RFC 7240); preferences that we don't know are passed over.
 */
record PreferHeader(boolean async, long waitMillis) {

  static PreferHeader of(MultiMap headers) throws Problem {
    boolean async = false;
    long wait = -1;
    for (String header : headers.getAll("Prefer")) {
      for (String one : header.split("[,;]")) {
        String word = one.trim();
        if (word.equalsIgnoreCase("respond-async")) {
          async = true;
        } else if (word.regionMatches(true, 0, "wait=", 0, 5)) {
          wait = seconds(word.substring(5));
        }
      }
    }
    return new PreferHeader(async, wait);
  }

  private static long seconds(String text) throws Problem {
    try {
      int n = Integer.parseInt(text.trim());
      if (n >= 0) {
        return n * 1_000L;
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new Problem(400, "Prefer: wait must be a whole number of seconds");
  }
}
