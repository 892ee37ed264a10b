package umberrun.stats;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Structured log of fleet-level events (membership, leases, plans): one JSON object per event on
 * standard error, through SLF4J. Create it only where the component that logs is enabled, since
 * that loads the logging library.
 */
public final class EventLog {
  private final Logger logger;

  /**
   * @param component the component that logs; the logger is {@code umberrun.<component>}
   */
  public EventLog(String component) {
    logger = LoggerFactory.getLogger("umberrun." + component);
  }

  /** Logs an event with its fields as key-value pairs, in the iteration order of the map. */
  public void log(String event, Map<String, Object> fields) {
    var line = logger.atInfo();
    for (Map.Entry<String, Object> field : fields.entrySet()) {
      line = line.addKeyValue(field.getKey(), field.getValue());
    }
    line.log(event);
  }
}
