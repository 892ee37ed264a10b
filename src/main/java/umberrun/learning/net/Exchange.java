package umberrun.learning.net;

import io.vertx.core.Future;
import java.util.List;
import umberrun.core.Owner;
import umberrun.learning.Fact;
import umberrun.learning.Page;
import umberrun.learning.Page.Unusable;

/** Pages in and out of the owner, whichever way they travel. */
public final class Exchange {
  private Exchange() {}

  /** The facts from {@code from} on as one page of at most so many bytes. */
  public static String page(
      String epoch, long uptime, List<Fact> facts, int from, int mostBytes, long now) {
    return Page.write(epoch, uptime, facts, from, mostBytes, now);
  }

  /**
   * Takes in a page; how many of its facts were of use. {@code took} is how long ago it may have
   * been written.
   */
  public static Future<Integer> hear(Owner owner, String page, long now, long took) {
    try {
      return owner.hear(Page.read(page, now, took).facts());
    } catch (Unusable e) {
      return Future.failedFuture(e);
    }
  }
}
