package umberrun.cli;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * What operators ask from a shell. Not loaded by {@code serve}, which starts without a command
 * line's cost.
 */
@Command(
    name = "umberrun",
    mixinStandardHelpOptions = true,
    description = "A front end for workers that run functions.",
    subcommands = {
      Commands.Serve.class,
      Commands.Benchlink.class,
      Commands.Knowledge.class,
      FleetCommand.class,
      LeaseCommands.Leases.class,
      LeaseCommands.Register.class,
      LeaseCommands.VotersCommand.class,
      WorksCommand.class,
      SimulateCommand.class
    })
public final class Commands implements Runnable {
  @Spec private CommandSpec spec;

  /** Runs a command; its exit status. */
  public static int run(String... args) {
    return new CommandLine(new Commands()).execute(args);
  }

  @Override
  public void run() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** Named here for its help alone: {@code Main} starts it without coming by. */
  @Command(
      name = "serve",
      description = "One real front end, configured by EDGE_CONFIG and UMBERRUN_OPERATOR.")
  static final class Serve {}

  /** The same. */
  @Command(name = "benchlink", description = "The same decisions on the simulator's wire.")
  static final class Benchlink {}

  /** Shows the facts of a running instance. */
  @Command(
      name = "knowledge",
      mixinStandardHelpOptions = true,
      description = "What an instance believes, where it is from and how old it is.")
  static final class Knowledge implements Callable<Integer> {
    private static final Duration PATIENCE = Duration.ofSeconds(5);
    private static final List<String> KINDS = List.of("copy", "worker", "function");

    @Spec private CommandSpec spec;

    @Parameters(paramLabel = "HOST:PORT", description = "learning.listen of the instance")
    private String address;

    @Option(
        names = "--within",
        paramLabel = "MS",
        description = "only what was seen in the last so many milliseconds")
    private Long within;

    @Option(names = "--worker", paramLabel = "NAME", description = "only what is about this worker")
    private String worker;

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      long from = 0;
      try {
        while (from >= 0) {
          JsonObject page = page(from);
          if (from == 0) {
            out.printf(
                "instance %s, up for %d ms, %d facts%n",
                page.get("epoch").getAsString(),
                page.get("uptime_ms").getAsLong(),
                page.get("known").getAsLong());
          }
          page.getAsJsonArray("facts").forEach(f -> print(out, f.getAsJsonArray()));
          from = page.get("next").getAsLong();
        }
        out.flush();
        return 0;
      } catch (IOException
          | IllegalArgumentException
          | JsonParseException
          | IllegalStateException e) {
        spec.commandLine()
            .getErr()
            .println("umberrun: " + address + " does not tell: " + e.getMessage());
        return 1;
      }
    }

    private JsonObject page(long from) throws IOException, InterruptedException {
      HttpResponse<String> r =
          HttpClient.newHttpClient()
              .send(
                  HttpRequest.newBuilder(
                          URI.create(
                              "http://"
                                  + address
                                  + "/v1/knowledge?v=1&from="
                                  + from
                                  + (within == null ? "" : "&within_ms=" + within)))
                      .timeout(PATIENCE)
                      .build(),
                  HttpResponse.BodyHandlers.ofString());
      if (r.statusCode() != 200) {
        throw new IOException(
            "status "
                + r.statusCode()
                + r.headers()
                    .firstValue("Retry-After")
                    .map(s -> ", again in " + s + " s")
                    .orElse(""));
      }
      return JsonParser.parseString(r.body()).getAsJsonObject();
    }

    private void print(PrintWriter out, JsonArray f) {
      String about = f.get(1).getAsString();
      if (worker != null && !worker.equals(about)) {
        return;
      }
      int kind = f.get(0).getAsInt();
      StringBuilder figures = new StringBuilder();
      if (kind > 0) { // that a copy stood loaded has none
        for (JsonElement x : f.asList().subList(5, kind == 1 ? 7 : 9)) {
          figures.append(String.format(" %.3g", x.getAsDouble()));
        }
      }
      out.printf(
          "%-8s %-16s %-16s %6d ms ago, seen by %s%s%n",
          KINDS.get(kind),
          about.isEmpty() ? "-" : about,
          kind == 1 ? "-" : f.get(2).getAsString(),
          f.get(3).getAsLong(),
          f.get(4).getAsString(),
          figures);
    }
  }
}
