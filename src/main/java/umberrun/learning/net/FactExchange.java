package umberrun.learning.net;

import io.vertx.core.Future;
import java.util.List;
import umberrun.core.DispatchLoop;
import umberrun.learning.Fact;
import umberrun.learning.FactPage;
import umberrun.learning.FactPage.UnusablePage;

/** Writes and merges pages of facts, independent of the transport. */
public final class FactExchange {
  private FactExchange() {}

  /**
   * Formats one page of facts; see {@link FactPage#write}.
   *
   * @param epoch incarnation of this front end
   * @param uptime how long this front end has been running, in microseconds
   * @param from index of the first fact of the page
   * @param maxBytes size limit of the page
   * @param now the current time, in microseconds
   */
  public static String writePage(
      String epoch, long uptime, List<Fact> facts, int from, int maxBytes, long now) {
    return FactPage.write(epoch, uptime, facts, from, maxBytes, now);
  }

  /**
   * Parses a page and merges its facts. Returns how many of them were used, or fails with {@link
   * UnusablePage}.
   *
   * @param now the current time, in microseconds
   * @param elapsed how long ago the page may have been written, in microseconds
   */
  public static Future<Integer> mergePage(
      DispatchLoop dispatchLoop, String page, long now, long elapsed) {
    try {
      return dispatchLoop.mergeFacts(FactPage.read(page, now, elapsed).facts());
    } catch (UnusablePage e) {
      return Future.failedFuture(e);
    }
  }
}
