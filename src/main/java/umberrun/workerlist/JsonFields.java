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

/** Reads JSON fields that may be absent, and lists of workers with malformed entries. */
final class JsonFields {
  private JsonFields() {}

  /** Returns a text field, or the empty string if it is absent or null. */
  static String text(JsonObject object, String key) {
    return object.has(key) && !object.get(key).isJsonNull() ? object.get(key).getAsString() : "";
  }

  /** Returns a numeric field, or 0 if it is absent or null. */
  static double number(JsonObject object, String key) {
    return object.has(key) && !object.get(key).isJsonNull() ? object.get(key).getAsDouble() : 0;
  }

  /** Returns an object field, or an empty object if it is absent or of another type. */
  static JsonObject object(JsonObject parent, String key) {
    return parent.get(key) instanceof JsonObject child ? child : new JsonObject();
  }

  /**
   * Reads the entries of a list of workers. A malformed entry is counted and skipped: failing the
   * whole list would block all further updates, as the same entry returns with each poll.
   */
  static List<Endpoint> readEndpoints(
      JsonArray entries, Function<JsonObject, Endpoint> reader, Counters counters) {
    List<Endpoint> endpoints = new ArrayList<>();
    for (JsonElement entry : entries) {
      Endpoint endpoint = readOrNull(() -> reader.apply(entry.getAsJsonObject()), counters);
      if (endpoint != null) {
        endpoints.add(endpoint);
      }
    }
    return endpoints;
  }

  /** Returns the value from the reader, or null if the JSON is malformed, which is counted. */
  static <T> T readOrNull(Supplier<T> reader, Counters counters) {
    try {
      return reader.get();
    } catch (IllegalStateException
        | IllegalArgumentException
        | NullPointerException
        | IndexOutOfBoundsException
        | UnsupportedOperationException
        | ClassCastException e) {
      counters.add(Count.WORKER_ENTRIES_UNREADABLE);
      return null;
    }
  }

  /** Returns the index of a name; all unknown names share the index behind the known ones. */
  static int indexOf(List<String> names, String name) {
    int index = names.indexOf(name);
    return index < 0 ? names.size() : index;
  }
}
