use std::net::SocketAddr;
use std::time::Duration;

use bay_types::ZoneName;

/// A service of a site, with the gates in front of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Site {
    /// The name in tables.
    pub name: &'static str,
    /// Zones, over which gates and targets are spread evenly.
    pub zones: usize,
    /// One-way delay between hosts of different zones.
    pub cross_zone_delay: Duration,
    /// Targets of the service.
    pub targets: usize,
    /// Connections that a target takes.
    pub connections: u32,
    /// Gates.
    pub gates: usize,
}

impl Site {
    /// Requests that a target runs at once.
    pub const SLOTS: u32 = 4;
    /// Requests that a target runs at once right after a cold start.
    pub const COLD_SLOTS: u32 = 1;
    /// Time from a cold start to full speed.
    pub const WARMUP: Duration = Duration::from_secs(10);
    /// One-way delay between hosts of one zone.
    pub const SAME_ZONE_DELAY: Duration = Duration::from_micros(250);
    /// Gates of each site.
    pub const GATES: usize = 9;

    /// Swanline Tagaway's service of this many targets.
    pub const fn swanline(name: &'static str, targets: usize) -> Site {
        let cross_zone_delay = Duration::from_millis(1);
        Site { name, zones: 4, cross_zone_delay, targets, connections: 110, gates: Site::GATES }
    }

    /// Puhas Kott's service of this many targets.
    pub const fn puhas_kott(name: &'static str, targets: usize) -> Site {
        let cross_zone_delay = Duration::from_micros(1_500);
        Site { name, zones: 3, cross_zone_delay, targets, connections: 50, gates: Site::GATES }
    }

    /// Swanline's job status lookup.
    pub const LOOKUP: Site = Site::swanline("swanline lookup", 17);
    /// Swanline's crew booking and billing; its photo store is of the same size.
    pub const BOOKING: Site = Site::swanline("swanline booking, photos", 8);
    /// Puhas Kott's bag tracking and routes.
    pub const TRACKING: Site = Site::puhas_kott("puhas-kott tracking", 14);
    /// Puhas Kott's booking and payment.
    pub const KOTT_BOOKING: Site = Site::puhas_kott("puhas-kott booking", 8);
    /// Puhas Kott's garment photo intake.
    pub const KOTT_PHOTOS: Site = Site::puhas_kott("puhas-kott photos", 6);

    /// The services of both sites.
    pub const ALL: [Site; 5] =
        [Site::LOOKUP, Site::BOOKING, Site::TRACKING, Site::KOTT_BOOKING, Site::KOTT_PHOTOS];

    /// The address of a target.
    pub fn address(target: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (target >> 8) as u8, target as u8], 80))
    }

    /// The name of a zone.
    ///
    /// # Panics
    /// Never; every such name is valid.
    pub fn zone(zone: usize) -> ZoneName {
        ZoneName::new(&format!("zone-{zone}")).expect("a letter, a hyphen and digits are a name")
    }

    /// The zone of the gate or target with this number.
    pub fn zone_of(&self, number: usize) -> usize {
        number % self.zones
    }

    /// Requests a second that the targets bear, while each slot also waits for the shortest way
    /// between a gate and a target and back.
    pub fn capacity(&self, service: Duration, without: Option<usize>) -> f64 {
        let rest = (0..self.targets).filter(|t| Some(self.zone_of(*t)) != without);
        let slots = rest.count() as f64 * f64::from(Site::SLOTS);
        let far = (0..self.gates).filter(|g| Some(self.zone_of(*g)) == without).count();
        let far_share = far as f64 / self.gates as f64;
        let way = self.cross_zone_delay.mul_f64(far_share)
            + Site::SAME_ZONE_DELAY.mul_f64(1.0 - far_share);
        slots / (service + way * 2).as_secs_f64()
    }

    /// One-way delay between two zones.
    pub fn delay(&self, from: usize, to: usize) -> Duration {
        if from == to { Site::SAME_ZONE_DELAY } else { self.cross_zone_delay }
    }
}
