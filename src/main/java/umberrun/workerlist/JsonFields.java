package umberrun.workerlist;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Supplier;
import umberrun.core.Endpoint;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/** Fields that may be absent, and names that settings give a position. */
final class JsonFields {
  private JsonFields() {}

  static String text(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsString() : "";
  }

  static double number(JsonObject o, String key) {
    return o.has(key) && !o.get(key).isJsonNull() ? o.get(key).getAsDouble() : 0;
  }

  static JsonObject object(JsonObject o, String key) {
    return o.get(key) instanceof JsonObject x ? x : new JsonObject();
  }

  /**
   * What can be read of a list's lines. One that can't is counted and passed over: guards the list
   * against going quiet for good, as the same line would come with each poll again.
   */
  static List<Endpoint> each(
      JsonArray lines, Function<JsonObject, Endpoint> reader, Counters counters) {
    List<Endpoint> read = new ArrayList<>();
    for (JsonElement line : lines) {
      Endpoint endpoint = readable(() -> reader.apply(line.getAsJsonObject()), counters);
      if (endpoint != null) {
        read.add(endpoint);
      }
    }
    return read;
  }

  /** What was read, or null where it is of another form than expected, which is counted. */
  static <T> T readable(Supplier<T> reader, Counters counters) {
    try {
      return reader.get();
    } catch (IllegalStateException
        | IllegalArgumentException
        | NullPointerException
        | IndexOutOfBoundsException
        | UnsupportedOperationException
        | ClassCastException e) {
      counters.add(Count.LINES_UNREADABLE);
      return null;
    }
  }

  /** Unknown names share a place of their own, behind all known ones. */
  static int place(List<String> names, String name) {
    int at = names.indexOf(name);
    return at < 0 ? names.size() : at;
  }
}
