package umberrun.works.net;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import umberrun.works.FrontEndReport;

/**
 * What front ends tell each other of works: compressed JSON, as ledgers and reports repeat the same
 * names.
 */
final class WorksCodec {
  /** One message; what it has no use for is absent. */
  record WorksMessage(
      Kind kind,
      long version,
      String ledger,
      FrontEndReport report,
      String function,
      String machine) {
    /** ASK wants the ledger that the other knows. */
    enum Kind {
      LEDGER,
      REPORT,
      MOVE,
      ASK
    }
  }

  private static final int MOST_TEXT = 256 << 10;
  private static final Gson GSON = new Gson();

  private WorksCodec() {}

  static byte[] write(WorksMessage w) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    try (DeflaterOutputStream z = new DeflaterOutputStream(out)) {
      z.write(GSON.toJson(w).getBytes(StandardCharsets.UTF_8));
    } catch (IOException e) {
      throw new IllegalStateException(e); // a buffer in memory
    }
    return out.toByteArray();
  }

  /** Reads a message; fails with {@link IllegalArgumentException} where it can't be one. */
  static WorksMessage read(byte[] bytes) {
    try (InflaterInputStream z = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
      byte[] text =
          z.readNBytes(MOST_TEXT + 1); // guards the memory against a little that says much
      WorksMessage w =
          text.length > MOST_TEXT
              ? null
              : GSON.fromJson(new String(text, StandardCharsets.UTF_8), WorksMessage.class);
      if (w == null || w.kind == null) {
        throw new IllegalArgumentException("no word of works");
      }
      return w;
    } catch (IOException | JsonParseException e) {
      throw new IllegalArgumentException(e.toString(), e);
    }
  }
}
