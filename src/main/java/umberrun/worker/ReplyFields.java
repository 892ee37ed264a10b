package umberrun.worker;

import io.vertx.core.buffer.Buffer;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import saddlestall.Dispatcher.CopyStatus;
import saddlestall.Dispatcher.OutcomeCode;
import saddlestall.Dispatcher.ReportField;

/**
 * The fields of a worker's reply: {@code name=value,name=value}, or {@code -} if there are none.
 */
final class ReplyFields {
  private final Map<String, String> values = new HashMap<>();

  /** Parses the fields; pairs without a name are ignored. */
  ReplyFields(Buffer text) {
    for (String pair : text.toString().split(",")) {
      int equals = pair.indexOf('=');
      if (equals > 0) {
        values.put(pair.substring(0, equals), pair.substring(equals + 1));
      }
    }
  }

  /**
   * Whether the call found a loaded copy of its function, or started or joined a load, or the load
   * failed; {@code NONE} if the reply does not say.
   */
  CopyStatus copyStatus() {
    return switch (values.getOrDefault("n", "")) {
      case "w" -> CopyStatus.WARM;
      case "c" -> CopyStatus.BEGAN_LOAD;
      case "j" -> CopyStatus.JOINED_LOAD;
      case "f" -> CopyStatus.LOAD_FAILED;
      default -> CopyStatus.NONE;
    };
  }

  /** Returns an integer field, or 0 if it is absent or not an integer. */
  int count(String name) {
    try {
      return Integer.parseInt(values.getOrDefault(name, "0"));
    } catch (NumberFormatException e) {
      return 0;
    }
  }

  /**
   * Returns the values of the load report in the order of {@code fields}, or null if the reply has
   * no report. A field that is missing or not a number is 0.
   */
  float[] loadReport(List<ReportField> fields) {
    String text = values.get("l");
    if (text == null) {
      return null;
    }
    float[] report = new float[fields.size()];
    for (String pair : text.split(";")) {
      int colon = pair.indexOf(':');
      int index = colon < 0 ? -1 : fields.indexOf(reportField(pair.substring(0, colon)));
      if (index >= 0) {
        try {
          report[index] = Float.parseFloat(pair.substring(colon + 1));
        } catch (NumberFormatException e) {
          report[index] = 0;
        }
      }
    }
    return report;
  }

  private static ReportField reportField(String name) {
    return switch (name) {
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

  /**
   * Maps the status of a reply to an outcome. An unknown status counts as an error, which leaves
   * open whether the call ran.
   */
  static OutcomeCode outcomeCode(Buffer status) {
    return switch (status.toString()) {
      case "200" -> OutcomeCode.OK;
      case "404" -> OutcomeCode.MISS;
      case "503" -> OutcomeCode.FULL;
      case "504" -> OutcomeCode.NOT_STARTED;
      default -> OutcomeCode.ERROR;
    };
  }
}
