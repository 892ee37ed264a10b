package umberrun.config;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.net.SocketAddress;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32;
import saddlestall.Dispatcher.Settings;
import saddlestall.benchlink.SettingsJson;
import umberrun.admission.ConnectionLimits;

/**
 * All that a front end is told at its start: by the platform in {@code EDGE_*} variables and the
 * JSON file that one of them names, and by the operator in a file of ours.
 *
 * @param name its name, the same after a restart
 * @param listen where clients of the platform's protocol connect
 * @param seed for random numbers, new with each start
 * @param sockets descriptors that the process may hold
 * @param memoryMb memory that it may use
 * @param changelog where the change log answers, or null where workers come from Consul alone
 * @param initialEvents the change log's events up to now
 * @param operatorAddress where operators call, or null where there is no door
 * @param operatorFile the operator's file, with the second front's settings, or null while all of
 *     it is off
 */
public record Config(
    String name,
    SocketAddress listen,
    long seed,
    int sockets,
    int memoryMb,
    SocketAddress changelog,
    JsonObject initialEvents,
    Settings settings,
    SettingNames names,
    SocketAddress operatorAddress,
    OperatorFile operatorFile) {

  /**
   * The names that the settings give to places, in order; the module knows positions only. With
   * them what they say of connections: a limit that they lack is none, {@code idleCloseMillis} then
   * 0; and for how long an order to load is waited for.
   */
  public record SettingNames(
      List<String> classes,
      List<String> tenants,
      List<String> zones,
      List<String> kinds,
      long idleCloseMillis,
      int streamsPerConnection,
      long preloadTimeoutMillis) {}

  /** A configuration that cannot be served; the message is one plain line. */
  public static final class InvalidConfig extends Exception {
    private static final long serialVersionUID = 1;

    public InvalidConfig(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }

  private static final int DEFAULT_SOCKETS = 1024;
  private static final int DEFAULT_MEMORY_MB = 192;

  /** Of the memory, what answers that clients have not taken yet may hold. */
  private static final int ANSWERS_PART = 12;

  /** Reads the variables and the files that they name. */
  public static Config read(Map<String, String> env) throws InvalidConfig {
    String path = env.get("EDGE_CONFIG");
    if (path == null || path.isEmpty()) {
      throw new InvalidConfig("EDGE_CONFIG is not set: it names the configuration file");
    }
    try {
      JsonObject o = json(path);
      String listen = env.getOrDefault("EDGE_LISTEN", text(o, "listen"));
      String name = env.getOrDefault("EDGE_NAME", text(o, "name"));
      JsonObject settings = object(o, "settings");
      String fileName = env.get("UMBERRUN_OPERATOR");
      String door = env.getOrDefault("EDGE_OPERATOR", text(o, "operator"));
      String changelog = text(o, "changelog");
      SettingNames names = names(settings);
      OperatorFile file =
          fileName == null || fileName.isEmpty() ? null : OperatorFile.read(json(fileName));
      if (changelog.isEmpty() && (file == null || !file.listsWorkers())) {
        throw new InvalidConfig(
            "no source of workers: neither changelog nor consul.workers is set");
      }
      Config config =
          new Config(
              name,
              address(listen, "listen"),
              seed(text(o, "seed")),
              (int) positive(object(o, "limits"), "sockets", DEFAULT_SOCKETS),
              (int) positive(object(o, "limits"), "memory_mb", DEFAULT_MEMORY_MB),
              changelog.isEmpty() ? null : address(changelog, "changelog"),
              object(o, "known"),
              SettingsJson.read(settings.toString()),
              names,
              door.isEmpty() ? null : address(door, "operator"),
              file);
      config.connectionLimits();
      if (file != null && file.leases() != null) {
        file.leases().check(name);
      }
      return config;
    } catch (IllegalStateException
        | NumberFormatException
        | ClassCastException
        | UnsupportedOperationException e) { // a field of another type than it should have
      throw new InvalidConfig(path + ": " + e.getMessage());
    }
  }

  /** The account of all connections that the process may hold. */
  public ConnectionLimits connectionLimits() throws InvalidConfig {
    try {
      return new ConnectionLimits(
          sockets,
          operatorFile != null && operatorFile.invoke() != null,
          operatorAddress != null,
          operatorFile == null
              ? 0
              : (operatorFile.learning() != null ? 1 : 0)
                  + (operatorFile.fleet() != null ? 1 : 0)
                  + (operatorFile.leases() != null ? 1 : 0));
    } catch (ConnectionLimits.TooFewDescriptors e) {
      throw new InvalidConfig(e.getMessage());
    }
  }

  /**
   * Tells deployments apart, in hexadecimal: guards what a process leaves for its successor against
   * another customer's settings under the same name. It covers all names and no figure, so that an
   * upgrade may change those.
   */
  public String deployment() {
    CRC32 crc = new CRC32();
    crc.update(
        ("" + names.classes + names.tenants + names.zones + names.kinds)
            .getBytes(StandardCharsets.UTF_8));
    return String.format("%08x", crc.getValue());
  }

  /** How many bytes of answers may wait for clients that take them slowly, all together. */
  public long answerBytes() {
    return ((long) memoryMb << 20) / ANSWERS_PART;
  }

  /** Reads an address of the form host:port. */
  static SocketAddress address(String text, String field) throws InvalidConfig {
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 0 && port <= 65_535) {
        return SocketAddress.inetSocketAddress(port, text.substring(0, colon));
      }
    } catch (NumberFormatException e) {
      // said below
    }
    throw new InvalidConfig(field + " is not an address of the form host:port: '" + text + "'");
  }

  private static JsonObject json(String path) throws InvalidConfig {
    try {
      if (JsonParser.parseString(Files.readString(Path.of(path))) instanceof JsonObject o) {
        return o;
      }
      throw new InvalidConfig(path + " holds no JSON object");
    } catch (IOException e) {
      throw new InvalidConfig(path + " can't be read: " + e);
    } catch (JsonParseException e) {
      throw new InvalidConfig(path + " is not JSON: " + e.getMessage());
    }
  }

  private static SettingNames names(JsonObject s) throws InvalidConfig {
    JsonObject limits = object(s, "Limits");
    SettingNames names =
        new SettingNames(
            list(s, "Classes"),
            list(s, "Tenants"),
            list(s, "Zones"),
            list(s, "Kinds"),
            positive(limits, "IdleClose", 0),
            (int)
                Math.min(Integer.MAX_VALUE, positive(limits, "StreamsPerConn", Integer.MAX_VALUE)),
            positive(object(s, "FamilyInfo"), "OrderLimit", longestGiveUp(s)));
    if (names.classes.isEmpty() || new HashSet<>(names.classes).size() < names.classes.size()) {
      throw new InvalidConfig("settings.Classes must name at least one class, and each but once");
    }
    return names;
  }

  /** In milliseconds: what takes longer than the most patient client waits is of no use to any. */
  private static long longestGiveUp(JsonObject s) {
    long longest = 1;
    if (s.get("Classes") instanceof JsonArray classes) {
      for (JsonElement c : classes) {
        longest = Math.max(longest, positive(c.getAsJsonObject(), "GiveUp", 1));
      }
    }
    return longest;
  }

  private static List<String> list(JsonObject s, String key) {
    List<String> names = new ArrayList<>();
    if (s.get(key) instanceof JsonArray a) {
      for (JsonElement e : a) {
        names.add(e instanceof JsonObject o ? text(o, "Name") : e.getAsString());
      }
    }
    return List.copyOf(names);
  }

  private static long seed(String hex) {
    return hex.isEmpty() ? System.nanoTime() : Long.parseUnsignedLong(hex, 16);
  }

  private static long positive(JsonObject o, String key, long otherwise) {
    JsonElement e = o.get(key);
    long value = e == null || e.isJsonNull() ? 0 : Math.round(e.getAsDouble());
    return value > 0 ? value : otherwise;
  }

  private static JsonObject object(JsonObject o, String key) {
    return o.get(key) instanceof JsonObject x ? x : new JsonObject();
  }

  private static String text(JsonObject o, String key) {
    JsonElement e = o.get(key);
    return e == null || e.isJsonNull() ? "" : e.getAsString();
  }
}
