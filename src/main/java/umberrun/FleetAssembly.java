package umberrun;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.SocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import umberrun.admission.ConnectionLimits;
import umberrun.config.Config;
import umberrun.config.OperatorFile;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Lifecycle;
import umberrun.fleet.net.FleetManager;
import umberrun.lease.net.LeaseManager;
import umberrun.stats.Counters;
import umberrun.workerlist.ConsulSource;
import umberrun.works.net.WorksManager;

/**
 * Assembles the features that several front ends share: fleet membership, leases on duties and
 * maintenance plans. It is created only if the operator's file enables the fleet; otherwise the
 * classes of these features are not loaded.
 */
final class FleetAssembly {
  private final FleetManager fleet;

  /** The leases, or null if they are disabled. */
  private final LeaseManager leases;

  /** The maintenance plans, or null if they are disabled. */
  private final WorksManager works;

  private final Lifecycle lifecycle;

  /**
   * Creates the enabled features without starting them.
   *
   * @param sharedFolder folder for the handover between processes of this front end, or null
   */
  FleetAssembly(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Clock clock,
      Counters counters,
      ConnectionLimits connectionLimits,
      Config config,
      Lifecycle lifecycle,
      Path sharedFolder,
      Consumer<String> log) {
    OperatorFile operatorFile = config.operatorFile();
    List<String> halls = config.names().zones();
    int zone = config.settings().hall();
    String hall = zone < halls.size() ? halls.get(zone) : "";
    this.lifecycle = lifecycle;
    fleet =
        new FleetManager(
            vertx,
            dispatchLoop,
            clock,
            counters,
            connectionLimits,
            operatorFile.fleet(),
            new FleetManager.Identity(
                config.name(),
                hall,
                operatorFile.learning() == null ? "" : operatorFile.learning().listen().toString(),
                config.operatorAddress() == null ? "" : config.operatorAddress().toString(),
                config.settings().frontEndCount(),
                config.seed()),
            lifecycle::state,
            log);
    leases =
        operatorFile.leases() == null
            ? null
            : new LeaseManager(
                vertx,
                clock,
                dispatchLoop,
                counters,
                operatorFile.leases(),
                fleet,
                operatorFile.fleet().name(),
                halls,
                hall,
                config.seed(),
                lifecycle::state,
                log);
    works =
        operatorFile.works() == null
            ? null
            : new WorksManager(
                vertx,
                clock,
                dispatchLoop,
                counters,
                operatorFile.works(),
                fleet,
                leases.registers(),
                halls,
                config.names().kinds(),
                sharedFolder,
                log);
    if (works != null) {
      leases.addDuty(works.duty(), works);
    }
  }

  /**
   * Starts the membership protocol and, on top of it, the leases and plans.
   *
   * @param consul source in which other members are also looked up, or null
   */
  void start(ConsulSource consul) {
    fleet.start(consul);
  }

  /** Returns the addresses at which other members serve facts. */
  Future<List<SocketAddress>> factPeers() {
    return fleet.factPeers();
  }

  /** Sets whether another process of this front end runs beside this one. */
  void setAccompanied(boolean accompanied) {
    if (works != null) {
      works.setAccompanied(accompanied);
    }
  }

  /** Reports that an operator has resumed a worker at this front end. */
  void onManualResume(String worker) {
    if (works != null) {
      works.onManualResume(worker);
    }
  }

  /** Completes once this front end applies the suspensions of the current maintenance plans. */
  Future<Void> whenBound() {
    return works == null ? Future.succeededFuture() : works.whenBound();
  }

  /**
   * Releases the leases as the process begins to shut down. If a successor process has taken over,
   * also closes the listener and the voter's store, so that the successor can open them.
   *
   * @param hasSuccessor whether another process of this front end takes over
   */
  void leave(boolean hasSuccessor) {
    Future<Void> leasesReleased = leases == null ? Future.succeededFuture() : leases.leave();
    if (hasSuccessor) {
      leasesReleased
          .compose(v -> leases == null ? Future.succeededFuture() : leases.close())
          .onComplete(v -> fleet.leave(true));
    }
  }

  /**
   * Withdraws from the maintenance plans and leaves the fleet. To be called once nothing more is
   * sent to workers.
   */
  Future<Void> end() {
    Future<Void> deregistered =
        works == null
            ? Future.succeededFuture()
            : works.leave(lifecycle.state() == Lifecycle.State.HANDING_OVER);
    return deregistered.onComplete(v -> fleet.leave(false));
  }
}
