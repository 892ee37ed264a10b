package umberrun.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import umberrun.fleet.net.FleetClient;
import umberrun.fleet.net.FleetCodec.Frame;

/** Who is in the fleet, as one member sees it. */
@Command(
    name = "fleet",
    mixinStandardHelpOptions = true,
    description = "Who is in the fleet, as one member sees it.",
    subcommands = FleetCommand.Leave.class)
final class FleetCommand implements Callable<Integer> {
  /** Whom to ask. */
  static final class Member {
    @Parameters(paramLabel = "HOST:PORT", arity = "0..1", description = "fleet.listen of a member")
    private String address;

    JsonObject ask(Frame.Kind kind) throws IOException {
      return ask(kind, "");
    }

    /** Calls a part of a member that uses the fleet's listener; its no is an exception. */
    JsonObject call(String words) throws IOException {
      JsonObject o = ask(Frame.Kind.CALL, words);
      if (o.has("fault")) {
        throw new IOException(o.get("fault").getAsString());
      }
      return o;
    }

    private JsonObject ask(Frame.Kind kind, String words) throws IOException {
      int colon = address == null ? -1 : address.lastIndexOf(':');
      if (colon <= 0) {
        throw new IOException("an address of the form host:port is needed");
      }
      try {
        return JsonParser.parseString(
                FleetClient.ask(
                    address.substring(0, colon),
                    Integer.parseInt(address.substring(colon + 1)),
                    kind,
                    words))
            .getAsJsonObject();
      } catch (IllegalArgumentException | IllegalStateException | JsonParseException e) {
        throw new IOException(e.getMessage(), e);
      }
    }

    int silent(CommandSpec spec, IOException e) {
      spec.commandLine()
          .getErr()
          .println("umberrun: " + address + " does not tell: " + e.getMessage());
      return 1;
    }
  }

  private static final long WATCH_MILLIS = 1_000;

  @Spec private CommandSpec spec;

  @Mixin private Member member;

  @Option(names = "--json", description = "as JSON")
  private boolean json;

  @Option(names = "--watch", description = "again every second, until it no longer tells")
  private boolean watch;

  @Override
  public Integer call() throws InterruptedException {
    PrintWriter out = spec.commandLine().getOut();
    try {
      do {
        JsonObject view = member.ask(Frame.Kind.VIEW);
        if (!view.has("members")) {
          throw new IOException("it has not begun");
        }
        if (json) {
          out.println(view);
        } else {
          print(out, view);
        }
        out.flush();
        if (watch) {
          Thread.sleep(WATCH_MILLIS);
        }
      } while (watch);
      return 0;
    } catch (IOException e) {
      return member.silent(spec, e);
    }
  }

  private static void print(PrintWriter out, JsonObject view) {
    out.printf(
        "fleet %s as %s sees it: counted %.0f, divides by %.2f, doubts itself %d of 8%s%n",
        view.get("fleet").getAsString(),
        view.get("member").getAsString(),
        view.get("counted").getAsDouble(),
        view.get("divisor").getAsDouble(),
        view.get("doubts").getAsInt(),
        view.get("yielded").getAsBoolean() ? ", has YIELDED its name to another process" : "");
    out.printf(
        "%-20s %-10s %-8s %-9s %9s %9s %8s %-21s %s%n",
        "member",
        "hall",
        "status",
        "state",
        "since s",
        "heard s",
        "trip us",
        "address",
        "suspected by");
    List<JsonObject> members = new ArrayList<>();
    view.getAsJsonArray("members").forEach(m -> members.add(m.getAsJsonObject()));
    members.sort(Comparator.comparing(m -> text(m, "name")));
    for (JsonObject m : members) {
      out.printf(
          "%-20s %-10s %-8s %-9s %9s %9s %8s %-21s %s%n",
          text(m, "name"),
          text(m, "hall"),
          text(m, "status"),
          text(m, "state"),
          seconds(m, "since_ms"),
          seconds(m, "heard_ms"),
          text(m, "round_trip_us"),
          text(m, "address"),
          m.has("suspected_by")
              ? StreamSupport.stream(m.getAsJsonArray("suspected_by").spliterator(), false)
                  .map(JsonElement::getAsString)
                  .collect(Collectors.joining(" "))
              : "");
    }
  }

  static String text(JsonObject o, String key) {
    return o.has(key) ? o.get(key).getAsString() : "-";
  }

  static String seconds(JsonObject o, String key) {
    return o.has(key) && o.get(key).getAsLong() >= 0
        ? String.format("%.1f", o.get(key).getAsLong() / 1e3)
        : "-";
  }

  /** Has a member say good-bye; it goes on serving. */
  @Command(
      name = "leave",
      mixinStandardHelpOptions = true,
      description =
          "Has a member say good-bye to the fleet; it serves on, and comes back with its next start.")
  static final class Leave implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private Member member;

    @Override
    public Integer call() {
      try {
        boolean left = member.ask(Frame.Kind.LEAVE).get("left").getAsBoolean();
        spec.commandLine().getOut().println(left ? "left" : "had left before");
        return 0;
      } catch (IOException e) {
        return member.silent(spec, e);
      }
    }
  }
}
