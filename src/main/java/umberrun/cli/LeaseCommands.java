package umberrun.cli;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The commands {@code leases}, {@code register} and {@code voters}: the holders of duties, the
 * value of a register, and the set of voters.
 */
final class LeaseCommands {
  private static final long POLL_INTERVAL_MILLIS = 200;

  private LeaseCommands() {}

  /**
   * A command that sends its requests to one member. If a request fails, it prints one line and
   * ends with status 1.
   */
  abstract static class OperatorCall implements Callable<Integer> {
    @Spec private CommandSpec spec;

    @Mixin private FleetCommand.Member member;

    @Option(names = "--json", description = "print the answer as JSON")
    private boolean json;

    /** Sends the requests of this command and prints the answers. */
    abstract void run(PrintWriter out) throws IOException, InterruptedException;

    /** Calls the leases topic of the member with these words as arguments. */
    JsonObject call(String words) throws IOException {
      return member.call("leases " + words);
    }

    /** Prints the answer as JSON if the operator asked for that, and returns whether it did. */
    boolean printIfJson(PrintWriter out, JsonObject answer) {
      if (json) {
        out.println(answer);
      }
      return json;
    }

    @Override
    public Integer call() throws InterruptedException {
      PrintWriter out = spec.commandLine().getOut();
      try {
        run(out);
        out.flush();
        return 0;
      } catch (IOException e) {
        return member.reportFailure(spec, e);
      }
    }
  }

  /** Prints the holder of each duty. */
  @Command(
      name = "leases",
      mixinStandardHelpOptions = true,
      description = "Shows the holder of each duty, as one member knows it.",
      subcommands = Release.class)
  static final class Leases extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject answer = call("show");
      if (printIfJson(out, answer)) {
        return;
      }
      out.printf("%-20s %-20s %8s %8s %9s%n", "duty", "holder", "fence", "left s", "since s");
      for (JsonElement element : answer.getAsJsonArray("duties")) {
        JsonObject duty = element.getAsJsonObject();
        String holder =
            duty.get("known").getAsBoolean() ? FleetCommand.text(duty, "holder") : "not known yet";
        out.printf(
            "%-20s %-20s %8s %8s %9s%n",
            FleetCommand.text(duty, "duty"),
            holder.isEmpty() ? "nobody" : holder,
            FleetCommand.text(duty, "fence"),
            duty.get("here").getAsBoolean() ? FleetCommand.seconds(duty, "left_ms") : "-",
            FleetCommand.seconds(duty, "since_ms"));
      }
      print(out, answer.getAsJsonObject("voters"));
    }
  }

  /** Asks the holder of a duty to release its lease. */
  @Command(
      name = "release",
      mixinStandardHelpOptions = true,
      description =
          "Asks the holder of a duty to release it, and not to claim it again for two lease lengths.")
  static final class Release extends OperatorCall {
    @Parameters(
        index = "1",
        paramLabel = "DUTY",
        description = "name of the duty, as in the table of leases")
    private String duty;

    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject answer = call("release " + duty);
      out.println(answer.get("asked").getAsString() + " is asked to give it back");
    }
  }

  /** Prints the value of a register. */
  @Command(
      name = "register",
      mixinStandardHelpOptions = true,
      description = "Shows the value of a register that a majority of the voters holds.")
  static final class Register extends OperatorCall {
    @Parameters(
        index = "1",
        paramLabel = "NAME",
        description = "name of the register, such as duty/probe/hall-a")
    private String name;

    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject answer = call("register " + name);
      if (!printIfJson(out, answer)) {
        out.printf(
            "version %d%n%s%n",
            answer.get("version").getAsLong(), answer.get("text").getAsString());
      }
    }
  }

  /** Prints the set of voters. */
  @Command(
      name = "voters",
      mixinStandardHelpOptions = true,
      description = "Shows the set of voters, as one member knows it.",
      subcommands = {Found.class, Replace.class})
  static final class VotersCommand extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException {
      JsonObject answer = call("voters");
      if (!printIfJson(out, answer)) {
        print(out, answer);
      }
    }
  }

  /** Bootstraps the first set of voters. */
  @Command(
      name = "found",
      mixinStandardHelpOptions = true,
      description =
          "Creates the first set of voters from the names in the operator's files; all of them must answer, and none may have voted before.")
  static final class Found extends OperatorCall {
    @Override
    void run(PrintWriter out) throws IOException, InterruptedException {
      call("found");
      awaitChange(this, out);
    }
  }

  /** Replaces one voter, or completes a replacement that was interrupted. */
  @Command(
      name = "replace",
      mixinStandardHelpOptions = true,
      description =
          "Replaces a voter by another front end, or by itself if it lost its folder. "
              + "Without names, completes a replacement that was interrupted.")
  static final class Replace extends OperatorCall {
    @Parameters(
        index = "1",
        arity = "0..1",
        paramLabel = "LEAVES",
        description = "name of the voter to replace")
    private String leavingVoter;

    @Parameters(
        index = "2",
        arity = "0..1",
        paramLabel = "COMES",
        description = "name of the front end that replaces it, or the same name")
    private String newVoter;

    @Override
    void run(PrintWriter out) throws IOException, InterruptedException {
      if (leavingVoter != null && newVoter == null) {
        throw new IOException("COMES is missing");
      }
      call("replace " + (leavingVoter == null ? "" : leavingVoter + " " + newVoter));
      awaitChange(this, out);
    }
  }

  /** Waits until the member has completed the change of voters, and prints the new set. */
  private static void awaitChange(OperatorCall request, PrintWriter out)
      throws IOException, InterruptedException {
    JsonObject answer = request.call("voters");
    while (answer.get("busy").getAsBoolean()) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
      answer = request.call("voters");
    }
    if (answer.has("not_done")) {
      throw new IOException("not done: " + answer.get("not_done").getAsString());
    }
    print(out, answer);
  }

  private static void print(PrintWriter out, JsonObject voters) {
    StringBuilder keys = new StringBuilder();
    voters.getAsJsonArray("voters").forEach(voter -> keys.append(' ').append(voter.getAsString()));
    String leaving = voters.get("leaving").getAsString();
    out.printf(
        "voters%s, epoch %d%s%n",
        keys.length() == 0 ? " not known" : keys,
        voters.get("epoch").getAsLong(),
        leaving.isEmpty()
            ? ""
            : ", " + leaving + " is about to leave: voters replace goes on with it");
    String key = voters.get("key").getAsString();
    String fault = voters.get("why_not").getAsString();
    out.println(
        !key.isEmpty()
            ? "this one votes as " + key + ", " + voters.get("registers").getAsInt() + " registers"
            : fault.isEmpty() ? "this one does not vote" : "this one does NOT VOTE: " + fault);
  }
}
