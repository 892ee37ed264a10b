package umberrun.worker;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.ReportField;

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

  CopyStatus note() {
    return switch (values.getOrDefault("n", "")) {
      case "w" -> CopyStatus.WARM;
      case "c" -> CopyStatus.BEGAN_LOAD;
      case "j" -> CopyStatus.JOINED_LOAD;
      case "f" -> CopyStatus.LOAD_FAILED;
      default -> CopyStatus.NONE;
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
  float[] report(List<ReportField> fields) {
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

  private static ReportField field(String word) {
    return switch (word) {
      case "inflight", "outstanding" -> ReportField.OUTSTANDING;
      case "queue", "backlog" -> ReportField.QUEUE;
      case "util", "utilization" -> ReportField.UTILIZATION;
      case "latency_ms", "recent_ms" -> ReportField.RECENT_MS;
      case "qps", "throughput" -> ReportField.THROUGHPUT;
      case "eps", "errors_per_s" -> ReportField.ERRORS;
      case "x0" -> ReportField.PINNED_MEMORY;
      case "x1" -> ReportField.LOADS;
      default -> ReportField.OTHER;
    };
  }

  /** What an answer's word says. An unknown one proves nothing, as an error does. */
  static OutcomeCode code(Buffer word) {
    return switch (word.toString()) {
      case "200" -> OutcomeCode.OK;
      case "404" -> OutcomeCode.MISS;
      case "503" -> OutcomeCode.FULL;
      case "504" -> OutcomeCode.MOOT;
      default -> OutcomeCode.ERROR;
    };
  }
}
