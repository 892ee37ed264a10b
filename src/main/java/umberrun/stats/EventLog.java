package umberrun.stats;

import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Structured lines for what the front ends settle among themselves: one JSON object each on
 * standard error, through SLF4J. Made, and with it the library loaded, only where a part that
 * writes them is on.
 */
public final class EventLog {
  private final Logger logger;

  /**
   * @param part whose lines they are
   */
  public EventLog(String part) {
    logger = LoggerFactory.getLogger("umberrun." + part);
  }

  /** Writes what happened, with its figures. */
  public void log(String event, Map<String, Object> figures) {
    var line = logger.atInfo();
    for (Map.Entry<String, Object> f : figures.entrySet()) {
      line = line.addKeyValue(f.getKey(), f.getValue());
    }
    line.log(event);
  }
}
