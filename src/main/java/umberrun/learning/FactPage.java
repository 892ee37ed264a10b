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
 * A page of facts sent to another front end. It contains ages instead of times, as the clocks of
 * the machines are not comparable, and a malformed page is rejected as a whole.
 *
 * @param epoch incarnation of the front end that sent the page; the start of the next page is valid
 *     for this incarnation only
 * @param uptime how long the sender has been running, in microseconds; one that has just started
 *     knows little
 * @param next index of the first fact of the next page, or -1 if there is none
 * @param facts the facts of this page
 */
public record FactPage(String epoch, long uptime, long next, List<Fact> facts) {
  /** Thrown for a page that cannot be used. */
  public static final class UnusablePage extends Exception {
    private static final long serialVersionUID = 1;

    UnusablePage(String message) {
      super(message, null, false, false);
    }
  }

  /** Version of the format. */
  public static final int VERSION = 1;

  /** Maximum length of the names of workers and origins. */
  private static final int MAX_NAME_LENGTH = 256;

  /** Number of fields of a fact. */
  private static final int FIELD_COUNT = 9;

  /**
   * Formats a page as JSON.
   *
   * @param epoch incarnation of this front end
   * @param uptime how long this front end has been running, in microseconds
   * @param facts all facts, of which the page contains as many as fit
   * @param from index of the first fact of the page
   * @param maxBytes size limit of the page; a page contains at least one fact even if that is
   *     larger
   * @param now the current time, in microseconds
   */
  public static String write(
      String epoch, long uptime, List<Fact> facts, int from, int maxBytes, long now) {
    StringBuilder items = new StringBuilder();
    int next = from;
    for (; next < facts.size(); next++) {
      String item = toJson(facts.get(next), now).toString();
      if (items.length() + item.length() > maxBytes && next > from) {
        break;
      }
      items.append(items.length() == 0 ? "" : ",").append(item);
    }
    JsonObject head = new JsonObject();
    head.addProperty("v", VERSION);
    head.addProperty("epoch", epoch);
    head.addProperty("uptime_ms", uptime / 1_000);
    head.addProperty("known", facts.size());
    head.addProperty("next", next < facts.size() ? next : -1);
    String text = head.toString();
    return text.substring(0, text.length() - 1) + ",\"facts\":[" + items + "]}";
  }

  private static JsonArray toJson(Fact fact, long now) {
    JsonArray fields = new JsonArray();
    fields.add(fact.subject().kind().ordinal());
    fields.add(fact.subject().worker());
    fields.add(Long.toHexString(fact.subject().function()));
    fields.add((now - fact.seenAt()) / 1_000);
    fields.add(fact.origin());
    for (double number :
        new double[] {fact.value().a(), fact.value().b(), fact.value().c(), fact.value().d()}) {
      fields.add(number);
    }
    return fields;
  }

  /**
   * Parses a page. Unknown fields are ignored, and so are facts with too few fields, of an unknown
   * kind or with values out of range. A page that lacks a field of its own, or in which a field has
   * the wrong type, is rejected.
   *
   * @param now when the page arrived, in microseconds
   * @param elapsed how long ago the page may have been written, in microseconds
   */
  public static FactPage read(String text, long now, long elapsed) throws UnusablePage {
    try {
      JsonObject page = JsonParser.parseString(text).getAsJsonObject();
      if (page.get("v").getAsInt() != VERSION) {
        throw new UnusablePage("version " + page.get("v") + " is not supported");
      }
      List<Fact> facts = new ArrayList<>();
      for (JsonElement element : page.getAsJsonArray("facts")) {
        Fact fact = fromJson(element, now - elapsed);
        if (fact != null) {
          facts.add(fact);
        }
      }
      return new FactPage(
          page.get("epoch").getAsString(),
          1_000 * page.get("uptime_ms").getAsLong(),
          page.get("next").getAsLong(),
          facts);
    } catch (JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException
        | ClassCastException e) {
      throw new UnusablePage("not a valid page: " + e.getMessage());
    }
  }

  /** Parses a fact; null if it has too few fields, is of an unknown kind or is out of range. */
  private static Fact fromJson(JsonElement element, long writtenAt) {
    if (!(element instanceof JsonArray fields) || fields.size() < FIELD_COUNT) {
      return null;
    }
    int kind = fields.get(0).getAsInt();
    long age = fields.get(3).getAsLong();
    String worker = fields.get(1).getAsString();
    String origin = fields.get(4).getAsString();
    // A faulty peer must not send observations from the future or names that exhaust the memory.
    if (kind < 0
        || kind >= Kind.values().length
        || age < 0
        || age > Long.MAX_VALUE / 4_000
        || worker.length() > MAX_NAME_LENGTH
        || origin.length() > MAX_NAME_LENGTH) {
      return null;
    }
    return new Fact(
        new Subject(
            Kind.values()[kind], worker, Long.parseUnsignedLong(fields.get(2).getAsString(), 16)),
        new Value(
            fields.get(5).getAsDouble(),
            fields.get(6).getAsDouble(),
            fields.get(7).getAsDouble(),
            fields.get(8).getAsDouble()),
        origin,
        writtenAt - age * 1_000);
  }
}
