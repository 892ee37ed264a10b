package umberrun.worker;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saddlestall.Dispatcher.Code;
import saddlestall.Dispatcher.Field;
import saddlestall.Dispatcher.Note;

/** The fields of an answer: {@code name=value,name=value}, or {@code -} where there are none. */
final class ReplyFields {
  private final Map<String, String> values = new HashMap<>();

  ReplyFields(Buffer text) {
    for (String pair : text.toString().split(",")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
  }

  Note note() {
    return switch (values.getOrDefault("n", "")) {
      case "w" -> Note.WARM;
      case "c" -> Note.BEGAN_LOAD;
      case "j" -> Note.JOINED_LOAD;
      case "f" -> Note.LOAD_FAILED;
      default -> Note.NONE;
    };
  }

  /** A count; nought where it is absent or no number. */
  int count(String name) {
    try {
      return Integer.parseInt(values.getOrDefault(name, "0"));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * The load report in the order that the settings give its fields, or null where there is none.
   */
  float[] report(List<Field> fields) {
    String text = values.get("l");
    if (text == null) {
      return null;
    }
    float[] report = new float[fields.size()];
    for (String pair : text.split(";")) {
      int colon = pair.indexOf(':');
      int at = colon < 0 ? -1 : fields.indexOf(field(pair.substring(0, colon)));
      if (at >= 0) {
        try {
          report[at] = Float.parseFloat(pair.substring(colon + 1));
        } catch (NumberFormatException e) {
          report[at] = 0;
        }
      }
    }
    return report;
  }

  private static Field field(String word) {
    return switch (word) {
      case "inflight", "outstanding" -> Field.OUTSTANDING;
      case "queue", "backlog" -> Field.QUEUE;
      case "util", "utilization" -> Field.UTILIZATION;
      case "latency_ms", "recent_ms" -> Field.RECENT_MS;
      case "qps", "throughput" -> Field.THROUGHPUT;
      case "eps", "errors_per_s" -> Field.ERRORS;
      case "x0" -> Field.PINNED_MEMORY;
      case "x1" -> Field.LOADS;
      default -> Field.OTHER;
    };
  }

  /** What an answer's word says. An unknown one proves nothing, as an error does. */
  static Code code(Buffer word) {
    return switch (word.toString()) {
      case "200" -> Code.OK;
      case "404" -> Code.MISS;
      case "503" -> Code.FULL;
      case "504" -> Code.MOOT;
      default -> Code.ERROR;
    };
  }
}
