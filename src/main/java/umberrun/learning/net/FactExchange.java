package umberrun.learning.net;

import io.vertx.core.Future;
import java.util.List;
import umberrun.core.DispatchLoop;
import umberrun.learning.Fact;
import umberrun.learning.FactPage;
import umberrun.learning.FactPage.UnusablePage;

/** Pages in and out of the owner, whichever way they travel. */
public final class FactExchange {
  private FactExchange() {}

  /** The facts from {@code from} on as one page of at most so many bytes. */
  public static String writePage(
      String epoch, long uptime, List<Fact> facts, int from, int mostBytes, long now) {
    return FactPage.write(epoch, uptime, facts, from, mostBytes, now);
  }

  /**
   * Takes in a page; how many of its facts were of use. {@code took} is how long ago it may have
   * been written.
   */
  public static Future<Integer> mergePage(DispatchLoop owner, String page, long now, long took) {
    try {
      return owner.mergeFacts(FactPage.read(page, now, took).facts());
    } catch (UnusablePage e) {
      return Future.failedFuture(e);
    }
  }
}
