package umberrun.core;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * Identifies a call for comparisons with later calls under the same idempotency key. It takes the
 * same small amount of memory whatever the size of the call's body.
 *
 * @param callClass index of the call class in the settings
 * @param function the called function
 * @param bodyDigest SHA-256 of the body as hex digits
 */
public record CallFingerprint(int callClass, long function, String bodyDigest) {
  private static final String DIGEST_ALGORITHM = "SHA-256";

  /** The fingerprint of a request. */
  public static CallFingerprint of(Request request) {
    return new CallFingerprint(
        request.callClass(), request.function(), digest(request.body().getBytes()));
  }

  private static String digest(byte[] body) {
    try {
      return HexFormat.of().formatHex(MessageDigest.getInstance(DIGEST_ALGORITHM).digest(body));
    } catch (NoSuchAlgorithmException e) {
      // Every Java platform must have it.
      throw new AssertionError(e);
    }
  }
}
