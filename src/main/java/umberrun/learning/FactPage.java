package umberrun.learning;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;
import umberrun.learning.Fact.Kind;
import umberrun.learning.Fact.Subject;
import umberrun.learning.Fact.Value;

/**
 * Facts on their way to another instance: ages instead of times, whole or not at all.
 *
 * @param epoch the incarnation that answers; a cursor of another one means nothing to it
 * @param uptime how long it has run, in microseconds: one that has just started knows little
 * @param next where the next page begins, or -1 for none
 */
public record FactPage(String epoch, long uptime, long next, List<Fact> facts) {
  /** A page that can't be used; the message says why. */
  public static final class UnusablePage extends Exception {
    private static final long serialVersionUID = 1;

    UnusablePage(String message) {
      super(message, null, false, false);
    }
  }

  public static final int VERSION = 1;
  private static final int MOST_NAME = 256;

  /**
   * The page as text; of the facts as many as fit into so many bytes, the others are left to the
   * next page.
   */
  public static String write(
      String epoch, long uptime, List<Fact> facts, int from, int mostBytes, long now) {
    StringBuilder items = new StringBuilder();
    int i = from;
    for (; i < facts.size(); i++) {
      String item = item(facts.get(i), now).toString();
      if (items.length() + item.length() > mostBytes && i > from) {
        break;
      }
      items.append(items.length() == 0 ? "" : ",").append(item);
    }
    JsonObject head = new JsonObject();
    head.addProperty("v", VERSION);
    head.addProperty("epoch", epoch);
    head.addProperty("uptime_ms", uptime / 1_000);
    head.addProperty("known", facts.size());
    head.addProperty("next", i < facts.size() ? i : -1);
    String text = head.toString();
    return text.substring(0, text.length() - 1) + ",\"facts\":[" + items + "]}";
  }

  private static JsonArray item(Fact f, long now) {
    JsonArray a = new JsonArray();
    a.add(f.subject().kind().ordinal());
    a.add(f.subject().worker());
    a.add(Long.toHexString(f.subject().function()));
    a.add((now - f.seenAt()) / 1_000);
    a.add(f.origin());
    for (double x : new double[] {f.value().a(), f.value().b(), f.value().c(), f.value().d()}) {
      a.add(x);
    }
    return a;
  }

  /**
   * Reads a page that arrived at {@code now}; {@code took} microseconds may have passed since it
   * was written. Fields that are not known here are passed over, a fact that can't be read is left
   * out.
   */
  public static FactPage read(String text, long now, long took) throws UnusablePage {
    try {
      JsonObject o = JsonParser.parseString(text).getAsJsonObject();
      if (o.get("v").getAsInt() != VERSION) {
        throw new UnusablePage("form " + o.get("v") + " is not known");
      }
      List<Fact> facts = new ArrayList<>();
      for (JsonElement e : o.getAsJsonArray("facts")) {
        Fact f = fact(e, now - took);
        if (f != null) {
          facts.add(f);
        }
      }
      return new FactPage(
          o.get("epoch").getAsString(),
          1_000 * o.get("uptime_ms").getAsLong(),
          o.get("next").getAsLong(),
          facts);
    } catch (JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException
        | ClassCastException e) {
      throw new UnusablePage("not a page: " + e.getMessage());
    }
  }

  private static Fact fact(JsonElement e, long writtenAt) {
    if (!(e instanceof JsonArray a) || a.size() < 9) {
      return null;
    }
    int kind = a.get(0).getAsInt();
    long age = a.get(3).getAsLong();
    String worker = a.get(1).getAsString();
    String origin = a.get(4).getAsString();
    // Guards against a lying peer: nothing is seen in the future, and names do not fill the memory.
    if (kind < 0
        || kind >= Kind.values().length
        || age < 0
        || age > Long.MAX_VALUE / 4_000
        || worker.length() > MOST_NAME
        || origin.length() > MOST_NAME) {
      return null;
    }
    return new Fact(
        new Subject(
            Kind.values()[kind], worker, Long.parseUnsignedLong(a.get(2).getAsString(), 16)),
        new Value(
            a.get(5).getAsDouble(),
            a.get(6).getAsDouble(),
            a.get(7).getAsDouble(),
            a.get(8).getAsDouble()),
        origin,
        writtenAt - age * 1_000);
  }
}
