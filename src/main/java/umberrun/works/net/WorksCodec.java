package umberrun.works.net;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import com.google.gson.annotations.SerializedName;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import umberrun.works.FrontEndReport;

/**
 * Encodes the messages that front ends exchange about maintenance plans as deflated JSON; they
 * compress well because ledgers and reports repeat the same names.
 */
final class WorksCodec {
  /**
   * One message; the components that its kind does not use are null or 0.
   *
   * @param version ledger version that the sender knows, or that {@code ledger} has
   * @param ledger the ledger as JSON text, of a {@code LEDGER}
   * @param report of a {@code REPORT}
   * @param function hexadecimal id of the function to load, of a {@code COPY_REQUEST}
   * @param machine where to load it, of a {@code COPY_REQUEST}
   */
  record WorksMessage(
      Kind kind,
      long version,
      String ledger,
      FrontEndReport report,
      String function,
      String machine) {
    /** What a message is about. */
    enum Kind {
      /** The sender's newest ledger. */
      LEDGER,
      /** The sender's report to the holder. */
      REPORT,
      /** Asks the receiver to have a copy of a function loaded on a machine. */
      @SerializedName("MOVE")
      COPY_REQUEST,
      /** Asks for the ledger that the receiver knows, if it is newer. */
      @SerializedName("ASK")
      LEDGER_REQUEST
    }
  }

  private static final int MAX_TEXT_BYTES = 256 << 10;
  private static final Gson GSON = new Gson();

  private WorksCodec() {}

  static byte[] write(WorksMessage message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
      deflater.write(GSON.toJson(message).getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      // A buffer in memory does not fail.
      throw new IllegalStateException(e);
    }
    return bytes.toByteArray();
  }

  /** Decodes a message; throws {@link IllegalArgumentException} if the bytes are not one. */
  static WorksMessage read(byte[] bytes) {
    try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      // The limit protects the memory from a small message that inflates to a huge text.
      byte[] text = inflater.readNBytes(MAX_TEXT_BYTES + 1);
      WorksMessage message =
          text.length > MAX_TEXT_BYTES
              ? null
              : GSON.fromJson(new String(text, StandardCharsets.UTF_8), WorksMessage.class);
      if (message == null || message.kind == null) {
        throw new IllegalArgumentException("no word of works");
      }
      return message;
    } catch (IOException | JsonParseException e) {
      throw new IllegalArgumentException(e.toString(), e);
    }
  }
}
